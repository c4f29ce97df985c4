package watcher

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// Feeds connect a watcher with the tasks that share what VMs see of a record.
type Feeds struct {
	// Notices brings the leader's word.
	Notices *mailer.Feed[buckthorndyke.SeenVersion]
	// Seen takes what this VM reads.
	Seen *mailer.Feed[buckthorndyke.SeenVersion]
	// Terms brings whether this VM leads.
	Terms *mailer.Feed[buckthorndyke.Term]
}

// recordWatch is the part of the state of a watcher's run that does not depend on the
// record.
type recordWatch struct {
	clock buckthorndyke.Clock
	// failedAt is the instant of the last failure.
	failedAt buckthorndyke.Millis
	outage   outage
	schedule schedule
	// retryAt is the instant of the next read after one that has failed.
	retryAt buckthorndyke.Millis
	seen    *mailer.Feed[buckthorndyke.SeenVersion]
	terms   <-chan buckthorndyke.Term
	notices <-chan buckthorndyke.SeenVersion
	// notice is the leader's last word.
	notice buckthorndyke.SeenVersion
}

// newRecordWatch returns the state of a run that ends with ctx. The record called name
// has to be known within limit.
func newRecordWatch(
	ctx context.Context, name string, feeds Feeds, limit buckthorndyke.Millis, clock buckthorndyke.Clock, logger zerolog.Logger,
) *recordWatch {
	return &recordWatch{
		clock: clock, outage: outage{logger: logger, name: name}, schedule: schedule{limit: limit}, seen: feeds.Seen,
		terms: feeds.Terms.Subscribe(ctx), notices: feeds.Notices.Subscribe(ctx),
	}
}

// noticeApplied takes over that the VM knows what the leader's last word has led to.
func (w *recordWatch) noticeApplied(ctx context.Context) error {
	w.outage.succeeded()
	w.schedule = w.schedule.WithChangeApplied(w.notice)
	return w.seen.Publish(ctx, buckthorndyke.SeenVersion{At: w.notice.At, VersionTag: w.notice.VersionTag})
}

// failed takes over that a read has failed.
func (w *recordWatch) failed(err error) {
	w.failedAt = w.clock.Now()
	w.retryAt = w.failedAt + w.outage.failed(err)
}

// await takes over what comes until due, or what has come if due is over; after a
// failure until the next try. It returns early, and true, if the leader knows a
// change that this VM does not.
func (w *recordWatch) await(ctx context.Context, due func() buckthorndyke.Millis) bool {
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
		case <-w.clock.After(wait):
		}
	}
}

// mayRead reports whether a change that the leader knows can be had now: it is told,
// or the record can be read.
func (w *recordWatch) mayRead() bool {
	return w.outage.failures == 0 || w.notice.Change != nil
}

// succeeded takes over that a read that began at an instant has found mark.
func (w *recordWatch) succeeded(ctx context.Context, at buckthorndyke.Millis, mark uint64) error {
	w.outage.succeeded()
	w.schedule = w.schedule.WithRead(at, mark)
	return w.seen.Publish(ctx, buckthorndyke.SeenVersion{At: at, VersionTag: mark})
}

// applyNotice takes over the leader's word, and reports whether the VM lacks a change.
func (w *recordWatch) applyNotice(s buckthorndyke.SeenVersion) bool {
	w.notice = s
	vouched := w.schedule.leaderConfirmed
	var lacks bool
	w.schedule, lacks = w.schedule.WithNotice(s)
	if w.schedule.leaderConfirmed > vouched {
		// The leader reads the record, and it is as this VM knows it.
		w.outage.succeeded()
	}
	return lacks
}
