package watcher_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/watcher"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// largeDirectory is a directory whose configuration, of version 3, has a record of the given
// size. It implements buckthorndyke.Directory.
type largeDirectory struct {
	buckthorndyke.Directory
	bytes int
	// err is the error of all reads but the first one, or nil.
	err   error
	reads int
}

// Routing implements buckthorndyke.Directory.
func (d *largeDirectory) Routing(ctx context.Context, wait buckthorndyke.Millis) (buckthorndyke.Routing, bool, error) {
	if d.err != nil && d.reads > 0 {
		return buckthorndyke.Routing{}, false, d.err
	}
	if wait > 0 && d.reads > 0 {
		select {
		case <-time.After(wait.Duration()):
		case <-ctx.Done():
		}
		return buckthorndyke.Routing{}, false, ctx.Err()
	}
	d.reads++
	return buckthorndyke.Routing{Record: buckthorndyke.RoutingRecord{Bytes: d.bytes}, Version: 3}, true, nil
}

// copySource has a copy of the given version, or none. It implements
// buckthorndyke.RoutingSource.
type copySource struct {
	calls   int
	version int64
}

// Routing implements buckthorndyke.RoutingSource.
func (s *copySource) Routing(context.Context, buckthorndyke.SeenVersion) (buckthorndyke.Routing, error) {
	s.calls++
	if s.version == 0 {
		return buckthorndyke.Routing{}, errors.New("no copy")
	}
	return buckthorndyke.Routing{Copied: true, Record: buckthorndyke.RoutingRecord{Bytes: 350_000}, Version: s.version}, nil
}

// copyResult is what a watcher has done after a notice.
type copyResult struct {
	calls, reads int
	inForce      int64
	// seen is the last version that the VM has announced as read or confirmed.
	seen buckthorndyke.SeenVersion
	// at is the instant of the leader's read.
	at buckthorndyke.Millis
}

// noticeCopies runs a watcher with version 3 of a record of the given size, to which a leader
// of the given number of VMs announces version 4 or, if wanted is set, another VM asks for it.
func noticeCopies(t *testing.T, vms, bytes int, version int64, leading, wanted bool) (out copyResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock, feed, feeds, wants := timekeeper.NewRealClock(), mailer.NewFeed[buckthorndyke.Routing](), newFeeds(ctx), mailer.NewFeed[int64]()
		d, s := &largeDirectory{bytes: bytes}, &copySource{version: version}
		asserter.NoError(t, feeds.Terms.Publish(ctx, buckthorndyke.Term{Leading: leading}))
		w := watcher.NewRoutings(d, feed, feeds, 3*buckthorndyke.Second, clock, zerolog.Nop(), watcher.WithRoutingSource(s, wants))
		seen, published := feeds.Seen.Subscribe(ctx), feed.Subscribe(ctx)
		for _, serve := range []func(context.Context) error{feed.Serve, wants.Serve, w.Serve} {
			go func() { _ = serve(ctx) }()
		}
		notice := func(versionTag uint64) {
			<-clock.After(2)
			out.at = clock.Now() - 1
			_ = feeds.Notices.Publish(ctx, buckthorndyke.SeenVersion{At: out.at, Leader: "leader", ReportingVMs: vms, VersionTag: versionTag})
			synctest.Wait()
		}
		notice(3)
		<-clock.After(1600)
		notice(3)
		if wanted {
			_ = wants.Publish(ctx, 4)
		} else {
			notice(4)
		}
		<-clock.After(5)
		synctest.Wait()
		out.calls, out.reads, out.inForce, out.seen = s.calls, d.reads, (<-published).Version, <-seen
	})
	return out
}

// TestRoutingSource guards against copies in fleets and of records that do not need them, and
// against a copy that counts as a confirmation that a key is unknown.
func TestRoutingSource(t *testing.T) {
	const large, many = 350_000, 300
	t.Run("a copy of the leader's version is in force without a read, and confirmed by the notice", func(t *testing.T) {
		got := noticeCopies(t, many, large, 4, false, false)
		asserter.Equal(t, got.inForce, 4)
		asserter.Equal(t, got.reads, 1)
		asserter.Equal(t, got.seen, buckthorndyke.SeenVersion{At: got.at, VersionTag: 4})
	})
	t.Run("a copy of a later version is in force and not confirmed", func(t *testing.T) {
		got := noticeCopies(t, many, large, 5, false, false)
		asserter.Equal(t, got.inForce, 5)
		asserter.Equal(t, got.seen.VersionTag, 3)
	})
	t.Run("a copy for another VM is in force and not confirmed", func(t *testing.T) {
		got := noticeCopies(t, many, large, 4, false, true)
		asserter.Equal(t, got.inForce, 4)
		asserter.Equal(t, got.reads, 1)
		asserter.Equal(t, got.seen.VersionTag, 3)
	})
	t.Run("a copy of an older version is not taken", func(t *testing.T) {
		got := noticeCopies(t, many, large, 2, false, false)
		asserter.Equal(t, got.inForce, 3)
		asserter.True(t, got.reads > 1, "the configuration is not read")
	})
	t.Run("the configuration is read if no other VM has a copy", func(t *testing.T) {
		got := noticeCopies(t, many, large, 0, false, false)
		asserter.True(t, got.calls > 0 && got.reads > 1, "the configuration is not read")
	})
	t.Run("VMs of a small fleet, of a small configuration and a leader read it", func(t *testing.T) {
		for _, got := range []copyResult{
			noticeCopies(t, 8, large, 4, false, false), noticeCopies(t, 95, large, 4, false, false),
			noticeCopies(t, many, 20_000, 4, false, false), noticeCopies(t, many, large, 4, true, false),
		} {
			asserter.Equal(t, got.calls, 0)
		}
	})
}

// assertOutageCopy checks whether a VM with version 3 asks for copies whose reads fail with
// err, and which version it has in force, if other VMs have version 4 and the leader announces
// the given versions.
func assertOutageCopy(t *testing.T, err error, asks bool, inForce int64, versionTags ...uint64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock, feed, feeds := timekeeper.NewRealClock(), mailer.NewFeed[buckthorndyke.Routing](), newFeeds(ctx)
		d, s := &largeDirectory{bytes: 350_000, err: err}, &copySource{version: 4}
		w := watcher.NewRoutings(d, feed, feeds, 3*buckthorndyke.Second, clock, zerolog.Nop(), watcher.WithRoutingSource(s, mailer.NewFeed[int64]()))
		published := feed.Subscribe(ctx)
		for _, serve := range []func(context.Context) error{feed.Serve, w.Serve} {
			go func() { _ = serve(ctx) }()
		}
		for _, versionTag := range versionTags {
			<-clock.After(2)
			_ = feeds.Notices.Publish(ctx, buckthorndyke.SeenVersion{At: clock.Now(), ReportingVMs: 300, VersionTag: versionTag})
			<-clock.After(2600)
		}
		synctest.Wait()
		asserter.Equal(t, (<-published).Version, inForce)
		asserter.Equal(t, s.calls > 0, asks)
	})
}

// TestOutageCopies guards against VMs of a large fleet that wait for the end of an outage of
// the store although other VMs have the newest configuration, and against repeated reads that
// keep the store's bandwidth exceeded.
func TestOutageCopies(t *testing.T) {
	t.Run("a VM that cannot read the store takes a copy", func(t *testing.T) {
		assertOutageCopy(t, errors.New("refused"), true, 4, 3, 4)
	})
	t.Run("a VM whose read has timed out asks for a copy before it repeats it", func(t *testing.T) {
		assertOutageCopy(t, context.DeadlineExceeded, true, 4, 3)
	})
	t.Run("a VM whose read fails at once and that lacks nothing repeats it", func(t *testing.T) {
		assertOutageCopy(t, errors.New("refused"), false, 3, 3)
	})
}
