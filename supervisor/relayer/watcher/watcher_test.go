package watcher_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/watcher"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const limit = 2 * buckthorndyke.Second

func TestRoutings(t *testing.T) {
	t.Run("an older configuration never replaces a newer one", func(t *testing.T) {
		got := runRoutings(t, []int64{3, 7, 5, 7, 9}, buckthorndyke.Minute)
		asserter.Equal(t, got.versions, []int64{3, 7, 9})
		asserter.Equal(t, bytes.Count([]byte(got.log), []byte("routing-older")), 1)
	})
	t.Run("a call that gets no response leaves time for another one within the limit", func(t *testing.T) {
		got := runRoutings(t, []int64{3}, buckthorndyke.Minute)
		asserter.True(t, got.longest <= limit/2, "a call waits for more than half of the limit")
	})
	t.Run("repeated failures are logged once and the calls continue", func(t *testing.T) {
		got := runRoutings(t, []int64{3, 0, 0, 0, 4}, buckthorndyke.Minute)
		asserter.Equal(t, got.versions, []int64{3, 4})
		asserter.Equal(t, bytes.Count([]byte(got.log), []byte("dependency-lost")), 1)
		asserter.Equal(t, bytes.Count([]byte(got.log), []byte("dependency-back")), 1)
	})
}

func TestNotices(t *testing.T) {
	const version = 3
	seen := func(versionTag uint64) func(clock buckthorndyke.Clock) buckthorndyke.SeenVersion {
		return func(clock buckthorndyke.Clock) buckthorndyke.SeenVersion {
			return buckthorndyke.SeenVersion{At: clock.Now() - 300, VersionTag: versionTag}
		}
	}
	t.Run("a VM whose version the leader confirms does not wait for changes", func(t *testing.T) {
		without := countRoutingCalls(t, nil)
		with := countRoutingCalls(t, seen(version))
		asserter.True(t, without >= 20, "a VM without notices does not follow the configuration")
		asserter.True(t, with <= 3, "a VM whose version the leader confirms waits for changes")
	})
	t.Run("a VM that lacks a change reads it at once", func(t *testing.T) {
		asserter.True(t, countRoutingCalls(t, seen(version+1)) >= 20, "the change is not read")
	})
}

func TestBackends(t *testing.T) {
	one := listOf(buckthorndyke.Backend{Heartbeats: 4, ID: "a", Incarnation: 1})
	t.Run("an older entry of a server does not replace a newer one", func(t *testing.T) {
		old := listOf(buckthorndyke.Backend{Heartbeats: 3, ID: "a", Incarnation: 1, Leaving: true})
		got := runBackends(t, one, old)
		a, _ := got[1].Servers.Get("a")
		asserter.True(t, !a.Leaving, "an older entry has replaced a newer one")
	})
	t.Run("the entry of a server's new incarnation replaces the old one at once", func(t *testing.T) {
		again := listOf(buckthorndyke.Backend{Heartbeats: 1, ID: "a", Incarnation: 2})
		got := runBackends(t, one, again)
		a, _ := got[1].Servers.Get("a")
		asserter.Equal(t, a.Incarnation, 2)
	})
	t.Run("a server that is no longer listed is removed", func(t *testing.T) {
		asserter.Equal(t, runBackends(t, one, buckthorndyke.Backends{})[1].Servers.Len(), 0)
	})
	t.Run("a server that is missing just after an outage is kept for a while", func(t *testing.T) {
		failed := buckthorndyke.Backends{Malformed: -1}
		got := runBackends(t, one, failed, buckthorndyke.Backends{}, buckthorndyke.Backends{}, buckthorndyke.Backends{}, buckthorndyke.Backends{})
		asserter.Equal(t, got[1].Servers.Len(), 1)
		asserter.Equal(t, got[len(got)-1].Servers.Len(), 0)
	})
}

func TestOutageGrace(t *testing.T) {
	t.Run("a server that is missing after an outage is removed after the grace period", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			clock := timekeeper.NewRealClock()
			feed := mailer.NewFeed[buckthorndyke.Backends]()
			go func() { _ = feed.Serve(ctx) }()
			published := feed.Subscribe(ctx)
			synctest.Wait()
			const outage = 12 * buckthorndyke.Second
			began := clock.Now()
			d := &outageDirectory{
				clock: clock, from: began + buckthorndyke.Second, until: began + outage,
				list: listOf(buckthorndyke.Backend{Heartbeats: 4, ID: "a", Incarnation: 1}),
			}
			go func() { _ = watcher.NewBackends(d, feed, newFeeds(ctx), limit, clock, zerolog.Nop()).Serve(ctx) }()
			for list := range published {
				if now := clock.Now(); now > began+outage && list.Servers.Len() == 0 {
					asserter.True(t, now <= began+outage+2800, "the server is kept for too long")
					return
				}
			}
		})
	})
}

// TestOutageNotice guards against a VM that was cut off from the store and confirms its list,
// with servers that have left in the meantime, to VMs that read the list all the while.
func TestOutageNotice(t *testing.T) {
	t.Run("the version that a VM announces after an outage is the one that it has read", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			clock := timekeeper.NewRealClock()
			feed, feeds := mailer.NewFeed[buckthorndyke.Backends](), newFeeds(ctx)
			go func() { _ = feed.Serve(ctx) }()
			published, seen := feed.Subscribe(ctx), feeds.Seen.Subscribe(ctx)
			synctest.Wait()
			began := clock.Now()
			const outage = 3 * buckthorndyke.Second
			d := &outageDirectory{
				clock: clock, from: began + buckthorndyke.Second, until: began + outage,
				list: listOf(buckthorndyke.Backend{Heartbeats: 4, ID: "a", Incarnation: 1}),
			}
			go func() { _ = watcher.NewBackends(d, feed, feeds, limit, clock, zerolog.Nop()).Serve(ctx) }()
			kept := 0
			for list := range published {
				announced := <-seen
				if clock.Now() <= began+outage {
					continue
				}
				asserter.Equal(t, announced.VersionTag, buckthorndyke.Backends{}.VersionTag())
				if list.Servers.Len() == 0 {
					break
				}
				kept++
			}
			asserter.True(t, kept > 0, "the server was not kept after the outage")
		})
	})
}

func TestListChange(t *testing.T) {
	before := listOf(buckthorndyke.Backend{ID: "a", Incarnation: 1})
	after := listOf(buckthorndyke.Backend{ID: "b", Incarnation: 1})
	change := after.ChangesSince(before)
	t.Run("a change in a notice is applied without a read", func(t *testing.T) {
		calls, last := runWithNotice(t, before, nil, buckthorndyke.SeenVersion{Change: &change, VersionTag: after.VersionTag()})
		asserter.Equal(t, calls, 1)
		asserter.Equal(t, last.VersionTag(), after.VersionTag())
	})
	t.Run("the list is read if a change does not result in the leader's version", func(t *testing.T) {
		calls, _ := runWithNotice(t, before, nil, buckthorndyke.SeenVersion{Change: &buckthorndyke.ListChange{}, VersionTag: after.VersionTag()})
		asserter.Equal(t, calls, 2)
	})
	t.Run("a VM that cannot read the list applies the change in a notice", func(t *testing.T) {
		_, last := runWithNotice(t, before, errors.New("connection lost"), buckthorndyke.SeenVersion{Change: &change, VersionTag: after.VersionTag()})
		asserter.Equal(t, last.VersionTag(), after.VersionTag())
	})
}

// onceDirectory is a directory whose list can be read once if err is set. Later reads
// then fail with err.
type onceDirectory struct {
	buckthorndyke.Directory
	calls int
	err   error
	list  buckthorndyke.Backends
}

// Backends implements buckthorndyke.Directory.
func (d *onceDirectory) Backends(context.Context) (buckthorndyke.Backends, error) {
	d.calls++
	if d.calls > 1 && d.err != nil {
		return buckthorndyke.Backends{}, d.err
	}
	d.list.At = timekeeper.NewRealClock().Now()
	return d.list, nil
}

// runWithNotice runs a watcher that has read the list known and then gets notice. If err is
// set, its later reads fail with err. It returns the number of reads and the last list.
func runWithNotice(
	t *testing.T, known buckthorndyke.Backends, err error, notice buckthorndyke.SeenVersion,
) (calls int, last buckthorndyke.Backends) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := timekeeper.NewRealClock()
		feed, inputs := mailer.NewFeed[buckthorndyke.Backends](), newFeeds(ctx)
		go func() { _ = feed.Serve(ctx) }()
		published := feed.Subscribe(ctx)
		d := &onceDirectory{err: err, list: known}
		synctest.Wait()
		go func() { _ = watcher.NewBackends(d, feed, inputs, limit, clock, zerolog.Nop()).Serve(ctx) }()
		wait := limit / 4
		if err != nil {
			wait = limit
		}
		<-clock.After(wait)
		notice.At = clock.Now()
		asserter.NoError(t, inputs.Notices.Publish(ctx, notice))
		synctest.Wait()
		calls = d.calls
		for more := true; more; {
			select {
			case last = <-published:
				synctest.Wait()
			default:
				more = false
			}
		}
	})
	return calls, last
}

// outageDirectory is a directory with an outage, after which its list is empty.
type outageDirectory struct {
	buckthorndyke.Directory
	clock       buckthorndyke.Clock
	from, until buckthorndyke.Millis
	list        buckthorndyke.Backends
}

// Backends implements buckthorndyke.Directory.
func (d *outageDirectory) Backends(context.Context) (buckthorndyke.Backends, error) {
	switch now := d.clock.Now(); {
	case now < d.from:
		d.list.At = now
		return d.list, nil
	case now < d.until:
		return buckthorndyke.Backends{}, errors.New("down")
	default:
		return buckthorndyke.Backends{At: now}, nil
	}
}

// scriptedDirectory is a directory whose responses the test sets. It implements
// buckthorndyke.Directory.
type scriptedDirectory struct {
	calls   int
	clock   buckthorndyke.Clock
	lists   []buckthorndyke.Backends
	longest buckthorndyke.Millis
	// routingCalls counts the calls of Routing.
	routingCalls int
	versions     []int64
}

// Backends implements buckthorndyke.Directory. A list with Malformed -1 stands
// for a failure.
func (d *scriptedDirectory) Backends(context.Context) (buckthorndyke.Backends, error) {
	next := d.lists[min(d.calls, len(d.lists)-1)]
	d.calls++
	if next.Malformed < 0 {
		return buckthorndyke.Backends{}, errors.New("down")
	}
	next.At = d.clock.Now()
	return next, nil
}

// Routing implements buckthorndyke.Directory. Version 0 stands for a failure.
func (d *scriptedDirectory) Routing(ctx context.Context, wait buckthorndyke.Millis) (buckthorndyke.Routing, bool, error) {
	d.routingCalls++
	d.longest = max(d.longest, wait)
	if d.calls >= len(d.versions) {
		select {
		case <-ctx.Done():
			return buckthorndyke.Routing{}, false, ctx.Err()
		case <-d.clock.After(wait):
			return buckthorndyke.Routing{}, false, nil
		}
	}
	version := d.versions[d.calls]
	d.calls++
	if version == 0 {
		return buckthorndyke.Routing{}, false, errors.New("down")
	}
	<-d.clock.After(10)
	return buckthorndyke.Routing{Version: version}, true, nil
}

// routingsResult is the result of runRoutings.
type routingsResult struct {
	log      string
	longest  buckthorndyke.Millis
	versions []int64
}

// newFeeds returns the running feeds of one watcher.
func newFeeds(ctx context.Context) watcher.Feeds {
	out := watcher.Feeds{
		Notices: mailer.NewFeed[buckthorndyke.SeenVersion](), Seen: mailer.NewFeed[buckthorndyke.SeenVersion](),
		Terms: mailer.NewFeed[buckthorndyke.Term](),
	}
	for _, serve := range []func(context.Context) error{out.Seen.Serve, out.Terms.Serve, out.Notices.Serve} {
		go func() { _ = serve(ctx) }()
	}
	return out
}

// listOf returns a list of one server.
func listOf(b buckthorndyke.Backend) buckthorndyke.Backends {
	var list buckthorndyke.Backends
	list.Servers = list.Servers.With(b.ID, b)
	return list
}

// runBackends returns the lists that are published while the directory returns the given
// ones.
func runBackends(t *testing.T, lists ...buckthorndyke.Backends) []buckthorndyke.Backends {
	t.Helper()
	var got []buckthorndyke.Backends
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := timekeeper.NewRealClock()
		feed := mailer.NewFeed[buckthorndyke.Backends]()
		d := &scriptedDirectory{clock: clock, lists: lists}
		go func() { _ = feed.Serve(ctx) }()
		published := feed.Subscribe(ctx)
		synctest.Wait()
		go func() { _ = watcher.NewBackends(d, feed, newFeeds(ctx), limit, clock, zerolog.Nop()).Serve(ctx) }()
		end := clock.After(limit * buckthorndyke.Millis(len(lists)))
		for {
			select {
			case l := <-published:
				got = append(got, l)
				continue
			case <-end:
			}
			break
		}
	})
	return got
}

// countRoutingCalls returns the number of calls of Routing in 30 s during which the leader
// sends the given notice every 0.8 s.
func countRoutingCalls(t *testing.T, notice func(clock buckthorndyke.Clock) buckthorndyke.SeenVersion) int {
	t.Helper()
	calls := 0
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := timekeeper.NewRealClock()
		feed, inputs := mailer.NewFeed[buckthorndyke.Routing](), newFeeds(ctx)
		source := &scriptedDirectory{clock: clock, versions: []int64{3}}
		go func() { _ = feed.Serve(ctx) }()
		done := make(chan error, 1)
		go func() {
			done <- watcher.NewRoutings(source, feed, inputs, limit, clock, zerolog.Nop()).Serve(ctx)
		}()
		for range 37 {
			if notice != nil {
				asserter.NoError(t, inputs.Notices.Publish(ctx, notice(clock)))
			}
			<-clock.After(800)
		}
		cancel()
		asserter.Error(t, <-done)
		calls = source.routingCalls
	})
	return calls
}

// runRoutings returns what is published while the directory returns the given
// versions.
func runRoutings(t *testing.T, versions []int64, d buckthorndyke.Millis) routingsResult {
	t.Helper()
	var out routingsResult
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var log bytes.Buffer
		clock := timekeeper.NewRealClock()
		feed := mailer.NewFeed[buckthorndyke.Routing]()
		source := &scriptedDirectory{clock: clock, versions: versions}
		go func() { _ = feed.Serve(ctx) }()
		published := feed.Subscribe(ctx)
		synctest.Wait()
		done := make(chan error, 1)
		go func() {
			done <- watcher.NewRoutings(source, feed, newFeeds(ctx), limit, clock, zerolog.New(&log)).Serve(ctx)
		}()
		end := clock.After(d)
		for ended := false; !ended; {
			select {
			case r := <-published:
				out.versions = append(out.versions, r.Version)
			case <-end:
				ended = true
			}
		}
		cancel()
		asserter.Error(t, <-done)
		out.log, out.longest = log.String(), source.longest
	})
	return out
}
