package campaigner_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/campaigner"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const grant = 1500 * buckthorndyke.Millisecond

func TestCampaigner(t *testing.T) {
	t.Run("a VM takes part at once if there is no leader, and renews within a grant", func(t *testing.T) {
		got := play(t, script{}, grant)
		asserter.True(t, got.campaigns >= 3, "the grant was not renewed")
		asserter.Equal(t, got.resigned, true)
	})
	t.Run("a new VM stays out while there is a leader, for some time", func(t *testing.T) {
		asserter.Equal(t, play(t, script{led: true}, 20*buckthorndyke.Second).campaigns, 0)
		asserter.True(t, play(t, script{led: true}, buckthorndyke.Minute).campaigns > 0, "the VM never takes part")
	})
	t.Run("a VM in reserve stays out while there is a leader", func(t *testing.T) {
		got := play(t, script{led: true}, 5*buckthorndyke.Minute, campaigner.WithReserve(true))
		asserter.Equal(t, got.campaigns, 0)
	})
	t.Run("a VM that was out of contact does not unseat a leader", func(t *testing.T) {
		// The first two renewals succeed; then the store is away, and another leads.
		got := play(t, script{failsFrom: 2, ledFrom: 2}, buckthorndyke.Minute)
		asserter.True(t, got.campaigns < 10, "the VM goes on to take part")
		asserter.Equal(t, got.last.Leading, false)
	})
}

// script is what an election does. It implements buckthorndyke.Election.
type script struct {
	calls int
	// failsFrom is the number of renewals that succeed, or 0 for all.
	failsFrom int
	led       bool
	// ledFrom is the number of renewals after which another VM leads.
	ledFrom  int
	resigned bool
}

// Campaign implements buckthorndyke.Election.
func (s *script) Campaign(context.Context) (buckthorndyke.Term, error) {
	s.calls++
	if s.failsFrom > 0 && s.calls > s.failsFrom {
		return buckthorndyke.Term{}, errors.New("down")
	}
	return buckthorndyke.Term{Fence: 3, Leading: true}, nil
}

// Leader implements buckthorndyke.Election.
func (s *script) Leader(context.Context) (string, bool, error) {
	return "10.0.0.2:1", s.led || s.ledFrom > 0 && s.calls >= s.ledFrom, nil
}

// Resign implements buckthorndyke.Election.
func (s *script) Resign(context.Context) error {
	s.resigned = true
	return nil
}

// outcome is what a campaigner has done.
type outcome struct {
	campaigns int
	last      buckthorndyke.Term
	resigned  bool
}

// play lets a campaigner take part in an election for d.
func play(t *testing.T, s script, d buckthorndyke.Millis, opts ...campaigner.Option) outcome {
	t.Helper()
	var out outcome
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := timekeeper.NewRealClock()
		feed := mailer.NewFeed[buckthorndyke.Term]()
		feeding, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = feed.Serve(feeding) }()
		terms := feed.Subscribe(feeding)
		synctest.Wait()
		done := make(chan error, 1)
		go func() { done <- campaigner.New(&s, grant, feed, clock, zerolog.Nop(), opts...).Serve(ctx) }()
		<-clock.After(d)
		synctest.Wait()
		select {
		case out.last = <-terms:
		default:
		}
		cancel()
		asserter.Error(t, <-done)
		out.campaigns, out.resigned = s.calls, s.resigned
	})
	return out
}
