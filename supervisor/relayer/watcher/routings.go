package watcher

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/authenticator"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// waitsPerLimit divides the limit for changes: one call waits for that part of it
	// for a change. If the connection has failed silently, the limit leaves time for
	// another call.
	waitsPerLimit = 2
	// confirmationWait is the wait of a call that confirms the version. A call without a
	// wait would return the whole configuration.
	confirmationWait = buckthorndyke.Millisecond
	// maxWait bounds the wait of a call.
	maxWait = buckthorndyke.Minute
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
	// refreshes delivers the instants from which on the version has to be confirmed, or is
	// nil.
	refreshes *mailer.Feed[buckthorndyke.Millis]
}

// RoutingsOption configures a Routings.
type RoutingsOption func(*Routings)

// WithConfirmations makes the task confirm the configuration's version by a read when
// refreshes delivers a value, unless it has read it since.
func WithConfirmations(refreshes *mailer.Feed[buckthorndyke.Millis]) RoutingsOption {
	return func(r *Routings) { r.refreshes = refreshes }
}

// NewRoutings returns a task that publishes each new configuration to feed. A change
// has to be in force within limit.
func NewRoutings(
	directory buckthorndyke.Directory, feed *mailer.Feed[buckthorndyke.Routing], feeds Feeds, limit buckthorndyke.Millis,
	clock buckthorndyke.Clock, logger zerolog.Logger, opts ...RoutingsOption,
) *Routings {
	r := &Routings{clock: clock, directory: directory, feed: feed, feeds: feeds, limit: limit, logger: logger}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Serve implements suture.Service. A VM to which the leader confirms its version reads
// the configuration only after a change. The leader, and a VM that gets no notices from
// it, wait for changes with long-polling calls.
func (r *Routings) Serve(ctx context.Context) error {
	w := newRecordWatch(ctx, "configuration", r.feeds, r.limit, r.clock, r.logger)
	if r.refreshes != nil {
		w.refreshes = r.refreshes.Subscribe(ctx)
	}
	var current buckthorndyke.Routing
	for ctx.Err() == nil {
		var wait buckthorndyke.Millis
		lacks := w.await(ctx, func() buckthorndyke.Millis { return w.schedule.LeaderConfirmedUntil() })
		switch {
		case w.schedule.leading:
			wait = r.limit / leaderReadsPerLimit
		case lacks:
		case w.refreshed:
			wait = confirmationWait
		default:
			wait = min(r.limit/waitsPerLimit, maxWaitWithCallers(current))
		}
		began := r.clock.Now()
		next, changed, err := r.directory.Routing(ctx, wait)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			w.failed(err)
			continue
		case changed && next.Version > current.Version:
			current = next
			r.logInForce(next)
			if err := r.feed.Publish(ctx, next); err != nil {
				return err
			}
		case changed && next.Version < current.Version:
			r.logger.Warn().EmbedObject(reporter.EventRoutingOlder).Int64("version", next.Version).
				Int64("in-force", current.Version).Send()
		}
		if next.Copied {
			w.copied(current.VersionTag())
			continue
		}
		// The response may have waited in a buffer while this process was paused. The store
		// sent it after wait at the latest.
		if err := w.succeeded(ctx, buckthorndyke.SeenVersion{At: min(r.clock.Now(), began+wait), VersionTag: current.VersionTag()}); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// logInForce logs a new configuration and the irregular values in its callers.
func (r *Routings) logInForce(next buckthorndyke.Routing) {
	r.logger.Info().EmbedObject(reporter.EventRoutingInForce).Int64("version", next.Version).Int("routes", next.Routes()).
		Int("callers", next.Callers.Len()).Bool("copied", next.Copied).Send()
	for _, f := range next.CallerFaults {
		r.logger.Warn().EmbedObject(reporter.EventCallerIrregular).Int64("version", next.Version).
			Str("caller", string(f.Caller)).Int("index", f.Index).Str("problem", f.Problem).Send()
	}
}

// maxWaitWithCallers bounds the wait of a call that follows current. Where requests need
// keys, it ends early enough to confirm the version for a request that waits.
func maxWaitWithCallers(current buckthorndyke.Routing) buckthorndyke.Millis {
	if current.Callers.Required() {
		return authenticator.MaxAge + authenticator.MaxWait/2
	}
	return maxWait
}
