package watcher_test

import (
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

// restoredDirectory is a directory with the servers "a" and "other" that is restored at an
// instant, and from which "a" is gone at a later one. It cannot be read from failing until goneAt.
// It implements buckthorndyke.Directory.
type restoredDirectory struct {
	buckthorndyke.Directory
	clock                     buckthorndyke.Clock
	restored, failing, goneAt buckthorndyke.Millis
}

// Backends implements buckthorndyke.Directory.
func (d *restoredDirectory) Backends(context.Context) (buckthorndyke.Backends, error) {
	now := d.clock.Now()
	if now >= d.failing && now < d.goneAt {
		return buckthorndyke.Backends{}, errors.New("unavailable")
	}
	out := listOf(buckthorndyke.Backend{Heartbeats: 1, ID: "other", Incarnation: 1})
	out.At, out.Era = now, 1
	if now >= d.restored {
		out.Era = 2
	}
	if now < d.goneAt {
		out.Servers = out.Servers.With("a", buckthorndyke.Backend{Heartbeats: 1, ID: "a", Incarnation: 1})
	}
	return out, nil
}

// keptFor returns how long a VM lists "a" after the directory no longer does. The leader, which
// has known of the restore since an instant after it, confirms the VM's list until reads of the
// directory fail, or until "a" is gone.
func keptFor(t *testing.T, restored, known, failing, gone buckthorndyke.Millis) buckthorndyke.Millis {
	t.Helper()
	var kept buckthorndyke.Millis
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := timekeeper.NewRealClock()
		began := clock.Now()
		d := &restoredDirectory{clock: clock, failing: began + failing, goneAt: began + gone, restored: began + restored}
		feed, feeds := mailer.NewFeed[buckthorndyke.Backends](), newFeeds(ctx)
		go func() { _ = feed.Serve(ctx) }()
		published := feed.Subscribe(ctx)
		synctest.Wait()
		go func() { _ = watcher.NewBackends(d, feed, feeds, limit, clock, zerolog.Nop()).Serve(ctx) }()
		list := <-published
		go func() {
			for clock.Now() < d.goneAt {
				notice := buckthorndyke.SeenVersion{At: clock.Now(), Era: 1, EraAt: began, VersionTag: list.VersionTag()}
				if clock.Now() >= began+known {
					notice.Era, notice.EraAt = 2, began+known
				}
				if clock.Now() >= d.failing {
					// The leader has another version, so that it does not confirm this VM's.
					notice.VersionTag++
				}
				if feeds.Notices.Publish(ctx, notice) != nil {
					return
				}
				<-clock.After(300)
			}
		}()
		for list = range published {
			if !list.Servers.Has("a") {
				break
			}
		}
		kept = clock.Now() - d.goneAt
	})
	return kept
}

// TestLateEra guards against servers that got requests long after they had left: a VM whose list
// the leader confirms reads that of a restored store late, and then kept what it lacks.
func TestLateEra(t *testing.T) {
	const second = buckthorndyke.Second
	t.Run("a server that leaves after the time to be listed again is not kept", func(t *testing.T) {
		kept := keptFor(t, second, 1500, 6*second, 6*second)
		asserter.True(t, kept <= limit, "the server is kept for too long")
	})
	t.Run("a server that the copy may lack is kept, since the leader knows of the restore", func(t *testing.T) {
		kept := keptFor(t, second, 1500, 1600, 1600)
		asserter.True(t, kept > second, "the server is not kept")
		asserter.True(t, kept <= 3*second, "the server is kept for too long")
	})
	t.Run("a server that is missing after a later outage is kept", func(t *testing.T) {
		kept := keptFor(t, second, 1500, 4*second, 6*second)
		asserter.True(t, kept > second, "the server is not kept")
		asserter.True(t, kept <= 3*second, "the server is kept for too long")
	})
}
