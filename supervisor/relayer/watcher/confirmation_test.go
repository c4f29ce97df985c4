package watcher_test

import (
	"context"
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

// waitingDirectory is a directory whose configuration, of version 3, does not change. It
// implements buckthorndyke.Directory.
type waitingDirectory struct {
	buckthorndyke.Directory
	// copied is set if the first read returns another VM's copy.
	copied bool
	// pause is how long the process is paused in each call.
	pause buckthorndyke.Millis
	reads int
	// transfer is how long the transfer of the first response takes.
	transfer buckthorndyke.Millis
}

// Routing implements buckthorndyke.Directory.
func (d *waitingDirectory) Routing(ctx context.Context, wait buckthorndyke.Millis) (buckthorndyke.Routing, bool, error) {
	d.reads++
	if d.reads == 1 {
		time.Sleep(d.transfer.Duration())
		r := buckthorndyke.Routing{Copied: d.copied, Transfer: d.transfer, Version: 3}
		r.Callers = buckthorndyke.NewCallers()
		return r, true, nil
	}
	select {
	case <-time.After((wait + d.pause).Duration()):
	case <-ctx.Done():
	}
	return buckthorndyke.Routing{}, false, ctx.Err()
}

// confirmationFixture is a watcher of the configuration in a synctest bubble.
type confirmationFixture struct {
	clock     buckthorndyke.Clock
	ctx       context.Context
	feeds     watcher.Feeds
	refreshes *mailer.Feed[buckthorndyke.Millis]
	seen      <-chan buckthorndyke.SeenVersion
}

// withRoutings runs test with a watcher that reads from d.
func withRoutings(t *testing.T, d *waitingDirectory, test func(t *testing.T, f confirmationFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := confirmationFixture{clock: timekeeper.NewRealClock(), ctx: ctx, feeds: newFeeds(ctx), refreshes: mailer.NewFeed[buckthorndyke.Millis]()}
		feed := mailer.NewFeed[buckthorndyke.Routing]()
		f.seen = f.feeds.Seen.Subscribe(ctx)
		synctest.Wait()
		w := watcher.NewRoutings(d, feed, f.feeds, 3*buckthorndyke.Second, f.clock, zerolog.Nop(), watcher.WithConfirmations(f.refreshes))
		for _, serve := range []func(context.Context) error{feed.Serve, f.refreshes.Serve, w.Serve} {
			go func() { _ = serve(ctx) }()
		}
		synctest.Wait()
		test(t, f)
	})
}

// notice publishes that the leader has read the given version now.
func (f confirmationFixture) notice(versionTag uint64) {
	_ = f.feeds.Notices.Publish(f.ctx, buckthorndyke.SeenVersion{At: f.clock.Now(), VersionTag: versionTag})
	synctest.Wait()
}

// TestConfirmation guards against unknown keys that are refused because of an old
// configuration that counts as new.
func TestConfirmation(t *testing.T) {
	t.Run("a VM that the leader confirms reads when it is asked to, by a call that returns at once", func(t *testing.T) {
		d := &waitingDirectory{}
		withRoutings(t, d, func(t *testing.T, f confirmationFixture) {
			f.notice(3)
			time.Sleep((2 * buckthorndyke.Second).Duration())
			f.notice(3)
			synctest.Wait()
			reads := d.reads
			asked := f.clock.Now()
			asserter.NoError(t, f.refreshes.Publish(f.ctx, asked))
			time.Sleep((10 * buckthorndyke.Millisecond).Duration())
			synctest.Wait()
			asserter.Equal(t, d.reads, reads+1)
			seen := <-f.seen
			asserter.Equal(t, seen.VersionTag, 3)
			asserter.True(t, seen.At >= asked, "the confirmation is older than the request for it")
		})
	})
	t.Run("a VM without a leader confirms the version often enough for a request that waits", func(t *testing.T) {
		withRoutings(t, &waitingDirectory{}, func(t *testing.T, f confirmationFixture) {
			for range 10 {
				at := (<-f.seen).At
				next := <-f.seen
				asserter.True(t, next.At-at <= 1700, "the version is not confirmed for too long")
			}
		})
	})
	t.Run("another VM's copy confirms nothing until the leader or a read does", func(t *testing.T) {
		withRoutings(t, &waitingDirectory{copied: true}, func(t *testing.T, f confirmationFixture) {
			select {
			case <-f.seen:
				t.Error("a copy counts as a read")
			default:
			}
			began := f.clock.Now()
			asserter.True(t, (<-f.seen).At > began, "the version is not confirmed later")
		})
	})
	t.Run("a version is as old as the transfer of its record took", func(t *testing.T) {
		withRoutings(t, &waitingDirectory{transfer: buckthorndyke.Second}, func(t *testing.T, f confirmationFixture) {
			seen := <-f.seen
			asserter.True(t, f.clock.Now()-seen.At >= buckthorndyke.Second, "a version that was read before a slow transfer counts as newer")
		})
	})
	t.Run("a response that waited during a pause of the process is as old as the pause", func(t *testing.T) {
		withRoutings(t, &waitingDirectory{pause: buckthorndyke.Minute}, func(t *testing.T, f confirmationFixture) {
			<-f.seen
			at := (<-f.seen).At
			asserter.True(t, f.clock.Now()-at >= buckthorndyke.Minute, "an old response counts as new")
		})
	})
}
