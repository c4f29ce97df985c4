package watcher_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/watcher"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// countingSource counts the requests for copies. It implements buckthorndyke.ListSource.
type countingSource struct {
	calls int
	clock buckthorndyke.Clock
	err   error
	list  buckthorndyke.Backends
}

// Backends implements buckthorndyke.ListSource.
func (s *countingSource) Backends(context.Context, buckthorndyke.Backends, buckthorndyke.Millis) (buckthorndyke.Backends, error) {
	s.calls++
	out := s.list
	out.At = s.clock.Now()
	return out, s.err
}

// serversOf returns a list of n servers.
func serversOf(n int) buckthorndyke.Backends {
	var list buckthorndyke.Backends
	for i := range n {
		id := buckthorndyke.RunnerID(fmt.Sprintf("s%d", i))
		list.Servers = list.Servers.With(id, buckthorndyke.Backend{ID: id, Incarnation: 1})
	}
	return list
}

// runWithSource runs a watcher of a list of n servers for 20 s. It returns the number of
// reads of the platform's list and of requests for copies.
func runWithSource(t *testing.T, n int, err error, leading bool) (reads, copies int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), (20 * buckthorndyke.Second).Duration())
		defer cancel()
		clock := timekeeper.NewRealClock()
		feed := mailer.NewFeed[buckthorndyke.Backends]()
		go func() { _ = feed.Serve(ctx) }()
		feeds := newFeeds(ctx)
		asserter.NoError(t, feeds.Terms.Publish(ctx, buckthorndyke.Term{Leading: leading}))
		d := &scriptedDirectory{clock: clock, lists: []buckthorndyke.Backends{serversOf(n)}}
		s := &countingSource{clock: clock, err: err, list: serversOf(n)}
		_ = watcher.NewBackends(d, feed, feeds, limit, clock, zerolog.Nop(), watcher.WithListSource(s)).Serve(ctx)
		reads, copies = d.calls, s.calls
	})
	return reads, copies
}

// TestListSource guards against a fleet of hundreds of VMs that all read a large list from
// the platform, whose bandwidth was used up so that no VM knew the list for many seconds.
func TestListSource(t *testing.T) {
	t.Run("a VM gets a large list from others and does not read the platform's", func(t *testing.T) {
		reads, copies := runWithSource(t, 300, nil, false)
		asserter.Equal(t, reads, 0)
		asserter.True(t, copies > 10, "the list is not confirmed within its limit")
	})
	t.Run("a VM reads a small list itself after the first one", func(t *testing.T) {
		reads, copies := runWithSource(t, 30, nil, false)
		asserter.Equal(t, copies, 1)
		asserter.True(t, reads > 10, "the list is not confirmed within its limit")
	})
	t.Run("a leader reads a large list itself", func(t *testing.T) {
		reads, copies := runWithSource(t, 300, nil, true)
		asserter.True(t, copies <= 1, "a leader follows the copies of others")
		asserter.True(t, reads > 30, "a leader does not read the list often enough")
	})
	t.Run("a VM reads a large list itself if no other has a copy", func(t *testing.T) {
		reads, copies := runWithSource(t, 300, errors.New("no copy"), false)
		asserter.Equal(t, reads, copies)
		asserter.True(t, reads > 10, "the list is not confirmed within its limit")
	})
}
