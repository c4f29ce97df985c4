package watcher

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// Feeds connect a watcher with the tasks that exchange versions with other VMs.
type Feeds struct {
	// Notices delivers the versions that the leader announces.
	Notices *mailer.Feed[buckthorndyke.SeenVersion]
	// Seen receives the versions that this VM reads.
	Seen *mailer.Feed[buckthorndyke.SeenVersion]
	// Terms delivers whether this VM leads.
	Terms *mailer.Feed[buckthorndyke.Term]
}

// recordWatch is the state of a watcher's run, as far as it does not depend on the kind
// of record.
type recordWatch struct {
	clock buckthorndyke.Clock
	// failedAt is the instant of the last failed read.
	failedAt buckthorndyke.Millis
	// notice is the leader's last notice.
	notice  buckthorndyke.SeenVersion
	notices <-chan buckthorndyke.SeenVersion
	outage  outage
	// refreshed is set if await has ended because the record is needed newer.
	refreshed bool
	// refreshMargin is the time after a read within which the record is new enough.
	refreshMargin buckthorndyke.Millis
	// refreshes delivers the instants at which the record is needed newer, or is nil.
	refreshes <-chan buckthorndyke.Millis
	// retryAt is the instant of the next read after a failed one.
	retryAt  buckthorndyke.Millis
	schedule schedule
	seen     *mailer.Feed[buckthorndyke.SeenVersion]
	terms    <-chan buckthorndyke.Term
}

// newRecordWatch returns the state of a run that ends with ctx. Changes of the record called
// name have to be known within limit.
func newRecordWatch(
	ctx context.Context, name string, feeds Feeds, limit buckthorndyke.Millis, clock buckthorndyke.Clock, logger zerolog.Logger,
) *recordWatch {
	return &recordWatch{
		clock: clock, outage: outage{logger: logger, name: name}, schedule: schedule{limit: limit}, seen: feeds.Seen,
		terms: feeds.Terms.Subscribe(ctx), notices: feeds.Notices.Subscribe(ctx),
	}
}

// applyNotice records a notice from the leader, and reports whether the VM lacks a change.
func (w *recordWatch) applyNotice(s buckthorndyke.SeenVersion) bool {
	w.notice = s
	before := w.schedule.leaderConfirmed
	var lacks bool
	w.schedule, lacks = w.schedule.WithNotice(s)
	if w.schedule.leaderConfirmed > before {
		// The leader has read the record, and this VM has the same version.
		w.outage.succeeded()
	}
	return lacks
}

// await handles terms and notices until due, or after a failure until the next try. If
// that instant has passed, it only handles those that have already arrived. It returns
// true as soon as the leader announces a change that this VM lacks and can get.
func (w *recordWatch) await(ctx context.Context, due func() buckthorndyke.Millis) bool {
	w.refreshed = false
	for {
		wait := due()
		if w.outage.failures > 0 {
			wait = w.retryAt
		}
		wait -= w.clock.Now()
		if wait <= 0 {
			select {
			case term := <-w.terms:
				w.schedule = w.schedule.WithLeading(term.Leading)
			case s := <-w.notices:
				if w.applyNotice(s) && w.mayRead() {
					return true
				}
			case <-w.refreshes:
			default:
				return false
			}
			continue
		}
		select {
		case <-ctx.Done():
			return false
		case term := <-w.terms:
			w.schedule = w.schedule.WithLeading(term.Leading)
		case s := <-w.notices:
			if w.applyNotice(s) && w.mayRead() {
				return true
			}
		case at := <-w.refreshes:
			if w.outage.failures == 0 && w.schedule.NeedsRefresh(at, w.refreshMargin) {
				w.refreshed = true
				return false
			}
		case <-w.clock.After(wait):
		}
	}
}

// errCopied means that only another VM's copy of the record could be read.
var errCopied = errors.New("only another VM's copy could be read")

// copied records that another VM's copy of the given version was read instead of the record.
// Its age is not known, so that it confirms nothing.
func (w *recordWatch) copied(versionTag uint64) {
	w.schedule = w.schedule.WithCopy(versionTag)
	w.failed(errCopied)
}

// failed records a failed read.
func (w *recordWatch) failed(err error) {
	w.failedAt = w.clock.Now()
	w.retryAt = w.failedAt + w.outage.failed(err)
}

// mayRead reports whether a change that the leader has announced can be got now: the
// notice contains it, or reads of the record do not fail.
func (w *recordWatch) mayRead() bool {
	return w.outage.failures == 0 || w.notice.Change != nil
}

// noticeApplied records that the VM has applied the change in the leader's last notice.
func (w *recordWatch) noticeApplied(ctx context.Context) error {
	w.outage.succeeded()
	w.schedule = w.schedule.WithChangeApplied(w.notice)
	return w.seen.Publish(ctx, w.notice.WithoutChange())
}

// succeeded records a read of the given version.
func (w *recordWatch) succeeded(ctx context.Context, read buckthorndyke.SeenVersion) error {
	w.outage.succeeded()
	w.schedule = w.schedule.WithRead(read.At, read.VersionTag)
	return w.seen.Publish(ctx, read)
}
