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
	t.Run("a VM campaigns at once, renews its grant in time and resigns", func(t *testing.T) {
		got := runCampaigner(t, &scriptedElection{}, grant)
		asserter.True(t, got.campaigns >= 3, "the grant was not renewed")
		asserter.Equal(t, got.resigned, true)
		asserter.Equal(t, got.last.Leading, true)
	})
	t.Run("a VM rarely reads the grant of a leader that replies", func(t *testing.T) {
		got := runCampaigner(t, &scriptedElection{led: true}, buckthorndyke.Minute)
		asserter.True(t, got.campaigns < 20, "the VM reads the grant too often")
		asserter.Equal(t, got.last.Leading, false)
	})
	t.Run("a VM often reads the grant of a leader that does not reply", func(t *testing.T) {
		without := runCampaigner(t, &scriptedElection{led: true}, 20*buckthorndyke.Second)
		got := runCampaigner(t, &scriptedElection{led: true}, 20*buckthorndyke.Second, 10*buckthorndyke.Second)
		asserter.True(t, got.campaigns >= without.campaigns+5, "the VM does not read the grant more often")
	})
	t.Run("a VM whose leader replies again no longer reads its grant often", func(t *testing.T) {
		s := &scriptedElection{led: true}
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), (15 * buckthorndyke.Second).Duration())
			defer cancel()
			clock := timekeeper.NewRealClock()
			feed, losses := mailer.NewFeed[buckthorndyke.Term](), mailer.NewFeed[buckthorndyke.Millis]()
			found := mailer.NewFeed[buckthorndyke.Millis]()
			for _, serve := range []func(context.Context) error{feed.Serve, losses.Serve, found.Serve} {
				go func() { _ = serve(ctx) }()
			}
			go func() {
				for _, lost := range []buckthorndyke.Millis{4, 8} {
					<-clock.After(4 * buckthorndyke.Second)
					_ = losses.Publish(ctx, clock.Now())
					<-clock.After(lost * 100)
					_ = found.Publish(ctx, clock.Now())
				}
			}()
			synctest.Wait()
			asserter.NoError(t, found.Publish(ctx, clock.Now()))
			_ = campaigner.New(s, grant, losses, feed, clock, zerolog.Nop(), campaigner.WithFound(found)).Serve(ctx)
		})
		asserter.True(t, s.calls <= 6, "the VM contests a leader that replies")
	})
	t.Run("a standby VM waits before it takes the lead", func(t *testing.T) {
		got := runStandby(t, &scriptedElection{}, 900*buckthorndyke.Millisecond)
		asserter.Equal(t, got.campaigns, 0)
		got = runStandby(t, &scriptedElection{}, 2*buckthorndyke.Second)
		asserter.True(t, got.campaigns > 0, "the VM never campaigns")
	})
	t.Run("a leader that cannot renew its grant keeps trying", func(t *testing.T) {
		got := runCampaigner(t, &scriptedElection{failsFrom: 2}, 6*buckthorndyke.Second)
		asserter.True(t, got.campaigns >= 10, "the VM has stopped trying")
		asserter.Equal(t, got.last.Leading, true)
	})
	t.Run("a leader that was replaced publishes that it no longer leads", func(t *testing.T) {
		got := runCampaigner(t, &scriptedElection{ledFrom: 2}, 6*buckthorndyke.Second)
		asserter.Equal(t, got.last.Leading, false)
	})
}

// scriptedElection is an election whose results the test sets. It implements
// buckthorndyke.Election.
type scriptedElection struct {
	calls int
	// failsFrom is the number of campaigns that succeed, or 0 for all.
	failsFrom int
	led       bool
	// ledFrom is the number of campaigns after which another VM leads, or 0.
	ledFrom  int
	resigned bool
}

// Campaign implements buckthorndyke.Election.
func (s *scriptedElection) Campaign(context.Context) (buckthorndyke.Term, error) {
	s.calls++
	switch {
	case s.failsFrom > 0 && s.calls > s.failsFrom:
		return buckthorndyke.Term{}, errors.New("down")
	case s.led, s.ledFrom > 0 && s.calls > s.ledFrom:
		return buckthorndyke.Term{}, nil
	default:
		return buckthorndyke.Term{FencingToken: 3, Leading: true}, nil
	}
}

// Leader implements buckthorndyke.Election.
func (s *scriptedElection) Leader(context.Context) (string, bool, error) {
	return "10.0.0.2:1", s.led, nil
}

// Resign implements buckthorndyke.Election.
func (s *scriptedElection) Resign(context.Context) error {
	s.resigned = true
	return nil
}

// result is what a campaigner did during a run.
type result struct {
	campaigns int
	last      buckthorndyke.Term
	resigned  bool
}

// runCampaigner runs a campaigner for d. The leader does not reply at the given times.
func runCampaigner(t *testing.T, s *scriptedElection, d buckthorndyke.Millis, losses ...buckthorndyke.Millis) result {
	t.Helper()
	return runWith(t, s, d, losses)
}

// runStandby is like runCampaigner, but for a standby VM.
func runStandby(t *testing.T, s *scriptedElection, d buckthorndyke.Millis) result {
	t.Helper()
	return runWith(t, s, d, nil, campaigner.WithStandby(true))
}

func runWith(
	t *testing.T, s *scriptedElection, d buckthorndyke.Millis, losses []buckthorndyke.Millis, opts ...campaigner.Option,
) result {
	t.Helper()
	var out result
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := timekeeper.NewRealClock()
		feed, lossFeed := mailer.NewFeed[buckthorndyke.Term](), mailer.NewFeed[buckthorndyke.Millis]()
		feedCtx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = feed.Serve(feedCtx) }()
		go func() { _ = lossFeed.Serve(feedCtx) }()
		terms := feed.Subscribe(feedCtx)
		synctest.Wait()
		done := make(chan error, 1)
		go func() { done <- campaigner.New(s, grant, lossFeed, feed, clock, zerolog.Nop(), opts...).Serve(ctx) }()
		for _, at := range losses {
			go func() {
				<-clock.After(at)
				_ = lossFeed.Publish(feedCtx, at)
			}()
		}
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
