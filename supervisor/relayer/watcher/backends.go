package watcher

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/spreader"
)

// outageGrace is how long servers that are no longer listed are kept after an outage,
// counted from its last failed read. The platform lists running servers again within two
// seconds after it has recovered.
const outageGrace = 2400 * buckthorndyke.Millisecond

// maxLoggedChanges bounds the lines about the changes from one list to the next.
const maxLoggedChanges = 64

// copyAgeDivisor divides the limit for changes: a copy of another VM's list is new enough
// up to that part of it.
const copyAgeDivisor = 4

// Backends is the task that follows the list of backend servers.
type Backends struct {
	clock     buckthorndyke.Clock
	directory buckthorndyke.Directory
	feed      *mailer.Feed[buckthorndyke.Backends]
	feeds     Feeds
	// limit is the time within which a change of the list has to be known.
	limit  buckthorndyke.Millis
	logger zerolog.Logger
	// refreshes delivers the instants at which other VMs need a newer list, or is nil.
	refreshes *mailer.Feed[buckthorndyke.Millis]
	// source has copies of large lists, or is nil.
	source buckthorndyke.ListSource
}

// BackendsOption configures a Backends.
type BackendsOption func(*Backends)

// WithRefreshes makes the task read the list when refreshes delivers a value.
func WithRefreshes(refreshes *mailer.Feed[buckthorndyke.Millis]) BackendsOption {
	return func(b *Backends) { b.refreshes = refreshes }
}

// WithListSource makes a VM that does not lead get a large list, or its first one, from s.
func WithListSource(s buckthorndyke.ListSource) BackendsOption {
	return func(b *Backends) { b.source = s }
}

// NewBackends returns a task that publishes each list to feed. A leaving server must
// not get new requests later than limit after it was listed as leaving.
func NewBackends(
	directory buckthorndyke.Directory, feed *mailer.Feed[buckthorndyke.Backends], feeds Feeds, limit buckthorndyke.Millis,
	clock buckthorndyke.Clock, logger zerolog.Logger, opts ...BackendsOption,
) *Backends {
	b := &Backends{clock: clock, directory: directory, feed: feed, feeds: feeds, limit: limit, logger: logger}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Serve implements suture.Service.
func (b *Backends) Serve(ctx context.Context) error {
	r := &backendsRun{
		Backends: b, watch: newRecordWatch(ctx, "list of servers", b.feeds, b.limit, b.clock, b.logger),
	}
	r.watch.refreshMargin = b.limit / copyAgeDivisor
	if b.refreshes != nil {
		r.watch.refreshes = b.refreshes.Subscribe(ctx)
	}
	for ctx.Err() == nil {
		if err := r.read(ctx); err != nil {
			return err
		}
		for r.watch.await(ctx, r.due) {
			applied, err := r.applyNotice(ctx)
			if err != nil {
				return err
			}
			if !applied {
				break
			}
		}
	}
	return ctx.Err()
}

// backendsRun is the state of one run of Backends.
type backendsRun struct {
	*Backends
	current  buckthorndyke.Backends
	departed departures
	// eraAt is the instant at which the store's era was first known.
	eraAt buckthorndyke.Millis
	// keepUntil is the instant until which servers that are no longer listed are kept.
	keepUntil buckthorndyke.Millis
	watch     *recordWatch
}

// applyNotice applies the change in the leader's notice, and reports whether that results
// in the leader's version of the list.
func (r *backendsRun) applyNotice(ctx context.Context) (bool, error) {
	next, ok := applyChange(r.current, r.watch.notice)
	if !ok {
		return false, nil
	}
	if err := r.watch.noticeApplied(ctx); err != nil {
		return false, err
	}
	return true, r.publish(ctx, next)
}

// due returns the instant of the next read.
func (r *backendsRun) due() buckthorndyke.Millis {
	if r.watch.schedule.read < r.keepUntil {
		return min(r.watch.schedule.Due(), r.keepUntil)
	}
	return r.watch.schedule.Due()
}

// eraStart returns the instant at which the store's era was first known, once a list was read.
// The era known until then was before. The leader reads the list more often, and may have known
// the present one earlier.
func (r *backendsRun) eraStart(before int64) buckthorndyke.Millis {
	at := r.clock.Now()
	if r.departed.era == before && r.eraAt > 0 {
		at = r.eraAt
	}
	if notice := r.watch.notice; notice.Era == r.departed.era && notice.Era != 0 {
		at = min(at, notice.EraAt)
	}
	return at
}

// fetch returns the list: the first one, and a large one unless the VM leads, from
// another VM if possible.
func (r *backendsRun) fetch(ctx context.Context) (buckthorndyke.Backends, error) {
	isFirst := r.current.At == 0
	if r.source != nil && !r.watch.schedule.leading && (isFirst || r.current.Servers.Len() > spreader.LargeList) {
		maxAge := r.limit / copyAgeDivisor
		if isFirst {
			// The first copies pass through many VMs. They are confirmed afterwards.
			maxAge = r.limit * stalePermille / 1000
		}
		list, err := r.source.Backends(ctx, r.current, maxAge)
		if err == nil || ctx.Err() != nil {
			return list, err
		}
	}
	return r.directory.Backends(ctx)
}

// publish makes next the current list.
func (r *backendsRun) publish(ctx context.Context, next buckthorndyke.Backends) error {
	r.logChanges(r.current, next)
	r.departed = r.departed.WithChange(r.current, next, r.clock.Now())
	r.current = next
	return r.feed.Publish(ctx, next)
}

// read reads the list. It returns an error only if ctx ends.
func (r *backendsRun) read(ctx context.Context) error {
	next, err := r.fetch(ctx)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case err != nil:
		r.watch.failed(err)
		return nil
	}
	if r.watch.outage.failures > 0 {
		r.keepUntil = r.watch.failedAt + outageGrace
	}
	era := r.departed.era
	next, isRestored := r.withoutDeparted(next)
	r.eraAt = r.eraStart(era)
	if isRestored {
		// The copy lacks the servers that have started since, until they write again.
		r.keepUntil = max(r.keepUntil, r.eraAt+outageGrace)
	}
	next = next.WithNewestEntries(r.current)
	// Other VMs may not have had the outage. They are told the version that was read, without
	// the servers that this VM keeps.
	versionTag := next.VersionTag()
	if r.clock.Now() < r.keepUntil {
		next = withMissing(next, r.current)
	}
	r.watch.schedule = r.watch.schedule.WithServers(next.Servers.Len())
	read := buckthorndyke.SeenVersion{At: next.At, Era: r.departed.era, EraAt: r.eraAt, VersionTag: versionTag}
	if err := r.watch.succeeded(ctx, read); err != nil {
		return err
	}
	return r.publish(ctx, next)
}

// withoutDeparted returns a list that was read without the servers that have left and that
// only an older copy of the store lists again, and whether the store was restored from one
// since the last read.
func (r *backendsRun) withoutDeparted(read buckthorndyke.Backends) (buckthorndyke.Backends, bool) {
	before := r.departed.era
	next, departed := r.departed.Apply(read)
	r.departed = departed
	isRestored := before != 0 && departed.era != before
	if listed := read.Servers.Len() - next.Servers.Len(); listed > 0 || isRestored {
		r.logger.Warn().EmbedObject(reporter.EventDirectoryRestored).Int64("era", departed.era).Int64("before", before).
			Int("departed", listed).Send()
	}
	return next, isRestored
}

// logChanges logs the servers that were added, removed, restarted, or changed their
// leaving state, up to a number of them.
func (b *Backends) logChanges(old, next buckthorndyke.Backends) {
	lines := 0
	defer func() {
		if lines > maxLoggedChanges {
			b.logger.Info().EmbedObject(reporter.EventServersListed).Int("servers", next.Servers.Len()).
				Int("changes", lines).Int("logged", maxLoggedChanges).Send()
		}
	}()
	for id, backend := range next.Servers.All() {
		was, ok := old.Servers.Get(id)
		if ok && was.Leaving == backend.Leaving && was.Incarnation == backend.Incarnation {
			continue
		}
		if lines++; lines > maxLoggedChanges {
			continue
		}
		b.logger.Info().EmbedObject(reporter.EventServerListed).Str("server", string(id)).
			Str("service", string(backend.Service)).Str("address", backend.Address).Bool("leaving", backend.Leaving).
			Int("models", len(backend.LoadedModels)).Uint64("started", uint64(backend.Incarnation)).Send()
	}
	for id := range old.Servers.All() {
		if next.Servers.Has(id) {
			continue
		}
		if lines++; lines <= maxLoggedChanges {
			b.logger.Info().EmbedObject(reporter.EventServerGone).Str("server", string(id)).Send()
		}
	}
	if next.Malformed != old.Malformed {
		b.logger.Warn().EmbedObject(reporter.EventServersMalformed).Int("entries", next.Malformed).Send()
	}
}

// applyChange returns current with the change in a leader's notice, or false if the notice
// has no change or the result is not the version that it announces.
func applyChange(current buckthorndyke.Backends, notice buckthorndyke.SeenVersion) (buckthorndyke.Backends, bool) {
	if notice.Change == nil {
		return current, false
	}
	next := current.WithChange(*notice.Change, notice.At)
	return next, next.VersionTag() == notice.VersionTag
}

// withMissing returns next with those servers of old that are missing from it.
func withMissing(next, old buckthorndyke.Backends) buckthorndyke.Backends {
	for id, backend := range old.Servers.All() {
		if !next.Servers.Has(id) {
			next.Servers = next.Servers.With(id, backend)
		}
	}
	return next
}
