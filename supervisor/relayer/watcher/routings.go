package watcher

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// waitsPerLimit divides the limit for changes: one call waits for that part of it
	// for a change. If the connection has failed silently, the limit leaves time for
	// another call.
	waitsPerLimit = 2
	// firstRetryWait and maxRetryWait are the shortest and the longest wait after a failed call.
	firstRetryWait = 50 * buckthorndyke.Millisecond
	maxRetryWait   = 800 * buckthorndyke.Millisecond
)

// Routings is the task that follows the configuration. It ignores older versions than
// the current one.
type Routings struct {
	clock     buckthorndyke.Clock
	directory buckthorndyke.Directory
	feed      *mailer.Feed[buckthorndyke.Routing]
	feeds     Feeds
	limit     buckthorndyke.Millis
	logger    zerolog.Logger
}

// NewRoutings returns a task that publishes each new configuration to feed. A change
// has to be in force within limit.
func NewRoutings(
	directory buckthorndyke.Directory, feed *mailer.Feed[buckthorndyke.Routing], feeds Feeds, limit buckthorndyke.Millis,
	clock buckthorndyke.Clock, logger zerolog.Logger,
) *Routings {
	return &Routings{clock: clock, directory: directory, feed: feed, feeds: feeds, limit: limit, logger: logger}
}

// Serve implements suture.Service. A VM to which the leader confirms its version reads
// the configuration only after a change. The leader, and a VM that gets no notices from
// it, wait for changes with long-polling calls.
func (r *Routings) Serve(ctx context.Context) error {
	w := newRecordWatch(ctx, "configuration", r.feeds, r.limit, r.clock, r.logger)
	var current buckthorndyke.Routing
	for ctx.Err() == nil {
		var wait buckthorndyke.Millis
		if lacks := w.await(ctx, func() buckthorndyke.Millis { return w.schedule.LeaderConfirmedUntil() }); !lacks {
			wait = r.limit / waitsPerLimit
		}
		if w.schedule.leading {
			wait = r.limit / leaderReadsPerLimit
		}
		next, changed, err := r.directory.Routing(ctx, wait)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			w.failed(err)
			continue
		case changed && next.Version > current.Version:
			current = next
			r.logger.Info().EmbedObject(reporter.EventRoutingInForce).
				Int64("version", next.Version).Int("routes", next.Routes()).Send()
			if err := r.feed.Publish(ctx, next); err != nil {
				return err
			}
		}
		if err := w.succeeded(ctx, r.clock.Now(), current.VersionTag()); err != nil {
			return err
		}
	}
	return ctx.Err()
}
