package watcher

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/authenticator"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/spreader"
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
	// repeatedCopyWait bounds the time in which a VM looks for a copy before it repeats a
	// failed read.
	repeatedCopyWait = 400 * buckthorndyke.Millisecond
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
	// source has copies of large configurations, or is nil.
	source buckthorndyke.RoutingSource
	// wants delivers the versions that other VMs need, or is nil.
	wants *mailer.Feed[int64]
}

// RoutingsOption configures a Routings.
type RoutingsOption func(*Routings)

// WithConfirmations makes the task confirm the configuration's version by a read when
// refreshes delivers a value, unless it has read it since.
func WithConfirmations(refreshes *mailer.Feed[buckthorndyke.Millis]) RoutingsOption {
	return func(r *Routings) { r.refreshes = refreshes }
}

// WithRoutingSource makes a VM of a large fleet that does not lead get the changes of a
// large configuration from s, and get a version that wants delivers for other VMs.
func WithRoutingSource(s buckthorndyke.RoutingSource, wants *mailer.Feed[int64]) RoutingsOption {
	return func(r *Routings) { r.source, r.wants = s, wants }
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
// the configuration only after a change, or gets it from another VM. The leader, and a VM
// that gets no notices from it, wait for changes with long-polling calls.
func (r *Routings) Serve(ctx context.Context) error {
	run := &routingsRun{Routings: r, watch: newRecordWatch(ctx, "configuration", r.feeds, r.limit, r.clock, r.logger)}
	if r.refreshes != nil {
		run.watch.refreshes = r.refreshes.Subscribe(ctx)
	}
	if r.wants != nil {
		run.watch.wants = r.wants.Subscribe(ctx)
	}
	for ctx.Err() == nil {
		lacks := run.watch.await(ctx, run.due)
		if wanted, ok := run.wanted(lacks); ok {
			if done, err := run.copyChange(ctx, wanted, lacks); done || err != nil {
				if err != nil {
					return err
				}
				continue
			}
		}
		if err := run.read(ctx, lacks); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// routingsRun is the state of one run of Routings.
type routingsRun struct {
	*Routings
	current buckthorndyke.Routing
	watch   *recordWatch
}

// copyChange gets the wanted version from another VM. It returns false if the directory has
// to be read now.
func (r *routingsRun) copyChange(ctx context.Context, wanted buckthorndyke.SeenVersion, lacks bool) (bool, error) {
	limit := r.limit
	if !lacks {
		limit = repeatedCopyWait
	}
	callCtx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	next, err := r.source.Routing(callCtx, wanted)
	switch {
	case ctx.Err() != nil:
		return false, ctx.Err()
	case err == nil && next.Version > r.current.Version:
		if err := r.publish(ctx, next); err != nil {
			return false, err
		}
		return true, r.watch.copyTaken(ctx, next.VersionTag())
	case lacks && r.watch.outage.failures > 0:
		// The directory is read when the next try is due.
		r.watch.failed(err)
		return true, nil
	}
	return false, nil
}

// due returns the instant of the next read.
func (r *routingsRun) due() buckthorndyke.Millis {
	r.watch.schedule = r.watch.schedule.WithCopies(r.copies(r.watch.notice, r.current))
	return r.watch.schedule.LeaderConfirmedUntil()
}

// wanted returns the version that other VMs may have and that the VM needs, or false if it
// has to read the directory: the one that it lacks or, before a read that has timed out is
// repeated, the next one. Repeated reads of all VMs of a large fleet would keep the store's bandwidth
// exceeded. Only a later version than the current one can be copied.
func (r *routingsRun) wanted(lacks bool) (buckthorndyke.SeenVersion, bool) {
	wanted := r.watch.wanted
	if !lacks {
		wanted = r.watch.notice
		wanted.VersionTag = max(wanted.VersionTag, r.current.VersionTag()+1)
	}
	ok := (lacks || r.watch.outage.failures > 0 && r.watch.timedOut) && !r.watch.schedule.leading &&
		wanted.VersionTag > r.current.VersionTag() && r.copies(wanted, r.current)
	return wanted, ok
}

// publish makes next the current configuration.
func (r *routingsRun) publish(ctx context.Context, next buckthorndyke.Routing) error {
	r.current = next
	r.logInForce(next)
	return r.feed.Publish(ctx, next)
}

// read reads the configuration, at once if the VM lacks a change. It returns an error only if
// ctx ends.
func (r *routingsRun) read(ctx context.Context, lacks bool) error {
	var wait buckthorndyke.Millis
	switch {
	case r.watch.schedule.leading:
		wait = r.limit / leaderReadsPerLimit
	case lacks:
	case r.watch.refreshed:
		wait = confirmationWait
	default:
		wait = min(r.limit/waitsPerLimit, maxWaitWithCallers(r.current))
	}
	began := r.clock.Now()
	next, changed, err := r.directory.Routing(ctx, wait)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case err != nil:
		r.watch.failed(err)
		return nil
	case changed && next.Version > r.current.Version:
		if err := r.publish(ctx, next); err != nil {
			return err
		}
	case changed && next.Version < r.current.Version:
		r.logger.Warn().EmbedObject(reporter.EventRoutingOlder).Int64("version", next.Version).
			Int64("in-force", r.current.Version).Send()
	}
	if next.Copied {
		r.watch.copied(r.current.VersionTag())
		return nil
	}
	// The response may have waited in a buffer while this process was paused. The store
	// sent it after wait at the latest, and before its transfer.
	return r.watch.succeeded(ctx, min(r.clock.Now()-next.Transfer, began+wait), r.current.VersionTag())
}

// copies reports whether the VMs of the leader that has sent notice get changes of current
// from each other.
func (r *Routings) copies(notice buckthorndyke.SeenVersion, current buckthorndyke.Routing) bool {
	return r.source != nil && spreader.CopiesRouting(notice.ReportingVMs, current.Record.Bytes)
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
