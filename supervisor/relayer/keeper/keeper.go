// Package keeper keeps the quarantines of requests in the platform's store, so that they
// outlast the simultaneous end of all VMs.
package keeper

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// interval is the time between two comparisons of the VM's quarantines with the kept
	// ones, on the leader.
	interval = 500 * buckthorndyke.Millisecond
	// minBackoff and maxBackoff bound the time until a failed call is repeated.
	minBackoff = buckthorndyke.Second
	maxBackoff = 16 * buckthorndyke.Second
)

// Keeper is the task that loads the quarantines when the VM starts and, on the leader,
// writes their changes.
type Keeper struct {
	backoff buckthorndyke.Millis
	clock   buckthorndyke.Clock
	// kept holds the quarantines in the store, once they were loaded.
	kept map[buckthorndyke.Fingerprint]bool
	// fencingToken is the fencing token of the VM's last term as leader.
	fencingToken int64
	// leading is set while the VM leads.
	leading bool
	logger  zerolog.Logger
	source  buckthorndyke.CrashSource
	store   buckthorndyke.QuarantineStore
	terms   *mailer.Feed[buckthorndyke.Term]
}

// New returns a keeper of the quarantines of source in store.
func New(
	store buckthorndyke.QuarantineStore, source buckthorndyke.CrashSource, terms *mailer.Feed[buckthorndyke.Term],
	clock buckthorndyke.Clock, logger zerolog.Logger,
) *Keeper {
	return &Keeper{clock: clock, logger: logger, source: source, store: store, terms: terms}
}

// Serve implements suture.Service.
func (k *Keeper) Serve(ctx context.Context) error {
	terms := k.terms.Subscribe(ctx)
	timer := k.after(k.step(ctx))
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case term := <-terms:
			begins := term.Leading && (!k.leading || term.FencingToken != k.fencingToken)
			k.leading = term.Leading
			if !begins {
				// The timer runs on: a leader's terms come as often as its steps.
				continue
			}
			// A previous leader may have written since, or the store was restored from an
			// older copy.
			k.fencingToken, k.kept = term.FencingToken, nil
		case <-timer:
		}
		timer = k.after(k.step(ctx))
	}
}

// after returns a channel that receives a value after wait, or nil if that is 0.
func (k *Keeper) after(wait buckthorndyke.Millis) <-chan time.Time {
	if wait == 0 {
		return nil
	}
	return k.clock.After(wait)
}

// step loads the quarantines if that is due, and writes changes on the leader. It returns
// the time until the next step, or 0 if only a new term makes one necessary.
func (k *Keeper) step(ctx context.Context) buckthorndyke.Millis {
	var err error
	switch {
	case k.kept == nil:
		err = k.load(ctx)
	case k.leading:
		err = k.write(ctx)
	}
	if failed := err != nil; failed != (k.backoff > 0) {
		event := reporter.EventDependencyBack
		if failed {
			event = reporter.EventDependencyLost
		}
		k.logger.Info().EmbedObject(event).Str("dependency", "quarantines").Err(err).Send()
	}
	switch {
	case err != nil:
		k.backoff = min(max(2*k.backoff, minBackoff), maxBackoff)
		return k.backoff
	case k.leading:
		k.backoff = 0
		return interval
	default:
		k.backoff = 0
		return 0
	}
}

// load passes the kept quarantines to the source.
func (k *Keeper) load(ctx context.Context) error {
	kept, err := k.store.Load(ctx)
	if err != nil {
		return err
	}
	k.kept = make(map[buckthorndyke.Fingerprint]bool)
	for _, q := range kept {
		k.kept[q.Fingerprint] = true
	}
	return k.source.HandleCrashEvidence(ctx, buckthorndyke.CrashEvidence{Quarantines: kept})
}

// write writes the differences between the source's quarantines and the kept ones.
func (k *Keeper) write(ctx context.Context) error {
	evidence, _, err := k.source.CrashEvidence(ctx)
	if err != nil {
		return err
	}
	current := make(map[buckthorndyke.Fingerprint]bool)
	for _, q := range evidence.Quarantines {
		current[q.Fingerprint] = true
		if k.kept[q.Fingerprint] {
			continue
		}
		if err := k.store.Put(ctx, q); err != nil {
			return err
		}
		k.kept[q.Fingerprint] = true
	}
	for f := range k.kept {
		if current[f] {
			continue
		}
		if err := k.store.Drop(ctx, f); err != nil {
			return err
		}
		delete(k.kept, f)
	}
	return nil
}
