package teller_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/teller"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

func TestTeller(t *testing.T) {
	var list buckthorndyke.Backends
	list.Servers = list.Servers.With("a", buckthorndyke.Backend{ID: "a"})
	t.Run("a VM returns its copy of the directory and the age of the list", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			known := list
			known.At = s.clock.Now()
			asserter.NoError(t, s.routings.Publish(s.ctx, buckthorndyke.Routing{Version: 4}))
			asserter.NoError(t, s.lists.Publish(s.ctx, known))
			<-s.clock.After(700)
			got, err := s.teller.DirectorySnapshot(s.ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, got.Age, 700)
			asserter.Equal(t, got.Routing.Version, 4)
			asserter.Equal(t, got.List.Servers.Len(), 1)
		})
	})
	t.Run("a VM that lacks a record returns an error", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			asserter.NoError(t, s.lists.Publish(s.ctx, list))
			synctest.Wait()
			_, err := s.teller.DirectorySnapshot(s.ctx)
			asserter.Code(t, err, buckthorndyke.CodeNotReady)
		})
	})
}

// fixture is a teller in a synctest bubble.
type fixture struct {
	clock buckthorndyke.Clock
	ctx   context.Context
	lists *mailer.Feed[buckthorndyke.Backends]
	// refreshes has the instants at which the teller needed a newer list.
	refreshes *mailer.Feed[buckthorndyke.Millis]
	routings  *mailer.Feed[buckthorndyke.Routing]
	teller    *teller.Teller
}

// withFixture runs test with a teller that has no records yet.
func withFixture(t *testing.T, test func(s *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &fixture{
			clock: timekeeper.NewRealClock(), ctx: ctx, lists: mailer.NewFeed[buckthorndyke.Backends](),
			refreshes: mailer.NewFeed[buckthorndyke.Millis](), routings: mailer.NewFeed[buckthorndyke.Routing](),
		}
		s.teller = teller.New(s.routings, s.lists, s.refreshes, s.clock)
		for _, serve := range []func(context.Context) error{s.lists.Serve, s.refreshes.Serve, s.routings.Serve, s.teller.Serve} {
			go func() { _ = serve(ctx) }()
		}
		synctest.Wait()
		test(s)
	})
}
