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
	// timedOut is set if the last failed read has exceeded its time-out.
	timedOut bool
	// wanted is the notice of the version that await has last reported as lacking. Without a
	// leader's notice of that version it has no instant.
	wanted buckthorndyke.SeenVersion
	// wants delivers the versions that other VMs need, or is nil. It is used only for a
	// record whose version tags rise.
	wants <-chan int64
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
	w.wanted = s
	if w.schedule.leaderConfirmed > before {
		// The leader has read the record, and this VM has the same version.
		w.outage.succeeded()
	}
	return lacks
}

// applyWant records that another VM needs the given version, and reports whether this VM
// lacks it.
func (w *recordWatch) applyWant(version int64) bool {
	w.wanted = buckthorndyke.SeenVersion{Leader: w.notice.Leader, ReportingVMs: w.notice.ReportingVMs, VersionTag: uint64(version)}
	return uint64(version) > w.schedule.versionTag
}

// await handles terms and notices until due, or after a failure until the next try. If
// that instant has passed, it only handles those that have already arrived. It returns
// true as soon as the leader announces a change that this VM lacks and can get, or another
// VM needs a version that it can get.
func (w *recordWatch) await(ctx context.Context, due func() buckthorndyke.Millis) bool {
	w.refreshed = false
	for {
		wait := due()
		if w.outage.failures > 0 {
			wait = w.retryAt
		}
		wait -= w.clock.Now()
		if wait <= 0 {
			if lacks, handled := w.handleArrived(); lacks || !handled {
				return lacks
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
		case v := <-w.wants:
			if w.applyWant(v) && w.mayRead() {
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

// handleArrived handles one term or notice that has already arrived, if there is one. It
// reports whether it tells of a change that this VM lacks and can get.
func (w *recordWatch) handleArrived() (lacks, handled bool) {
	select {
	case term := <-w.terms:
		w.schedule = w.schedule.WithLeading(term.Leading)
	case s := <-w.notices:
		lacks = w.applyNotice(s)
	case v := <-w.wants:
		lacks = w.applyWant(v)
	case <-w.refreshes:
	default:
		return false, false
	}
	return lacks && w.mayRead(), true
}

// errCopied means that only another VM's copy of the record could be read.
var errCopied = errors.New("only another VM's copy could be read")

// copied records that another VM's copy of the given version was read instead of the record.
// Its age is not known, so that it confirms nothing.
func (w *recordWatch) copied(versionTag uint64) {
	w.schedule = w.schedule.WithCopy(versionTag)
	w.failed(errCopied)
}

// copyTaken records that the VM has got another VM's copy of the given version. The leader's
// notice of the same version confirms it; otherwise the next one does.
func (w *recordWatch) copyTaken(ctx context.Context, versionTag uint64) error {
	w.outage.succeeded()
	if w.notice.VersionTag == versionTag && w.notice.At > 0 {
		return w.noticeApplied(ctx)
	}
	w.schedule = w.schedule.WithCopy(versionTag)
	return nil
}

// failed records a failed read.
func (w *recordWatch) failed(err error) {
	w.failedAt, w.timedOut = w.clock.Now(), errors.Is(err, context.DeadlineExceeded)
	w.retryAt = w.failedAt + w.outage.failed(err)
}

// mayRead reports whether a change that the leader has announced can be got now: the
// notice contains it, other VMs have it, or reads of the record do not fail.
func (w *recordWatch) mayRead() bool {
	return w.outage.failures == 0 || w.notice.Change != nil || w.schedule.copies
}

// noticeApplied records that the VM has applied the change in the leader's last notice.
func (w *recordWatch) noticeApplied(ctx context.Context) error {
	w.outage.succeeded()
	w.schedule = w.schedule.WithChangeApplied(w.notice)
	return w.seen.Publish(ctx, buckthorndyke.SeenVersion{At: w.notice.At, VersionTag: w.notice.VersionTag})
}

// succeeded records a read that began at the given instant and returned the given
// version.
func (w *recordWatch) succeeded(ctx context.Context, at buckthorndyke.Millis, versionTag uint64) error {
	w.outage.succeeded()
	w.schedule = w.schedule.WithRead(at, versionTag)
	return w.seen.Publish(ctx, buckthorndyke.SeenVersion{At: at, VersionTag: versionTag})
}
