package follower

import (
	"context"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/arbiter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// tail is the task that reads the control stream. Reads, requests to peers and appends
// run in goroutines that send their results to its mailboxes.
type tail struct {
	// appends receives a message when the append of a checkpoint ends.
	appends *mailer.Mailbox[struct{}]
	arbiter *arbiter.Arbiter
	backoff buckthorndyke.Millis
	cfg     config
	// checkpoints determines when the next checkpoint is due.
	checkpoints checkpointer
	clock       buckthorndyke.Clock
	encoder     buckthorndyke.Encoder
	feed        *mailer.Feed[buckthorndyke.StateUpdate]
	// generation counts the calls of Serve. Results of reads and snapshot requests that
	// an earlier call started are ignored.
	generation int
	log        buckthorndyke.Log
	reads      *mailer.Mailbox[readResult]
	// requesting is set while the state of a peer is fetched.
	requesting bool
	// scan is set while the follower searches for a checkpoint to start from.
	scan      *scan
	snapshots *mailer.Mailbox[peerSnapshot]
	update    buckthorndyke.StateUpdate
}

type readResult struct {
	batch      buckthorndyke.LogBatch
	err        error
	generation int
	// sent is the instant just before the read was sent.
	sent buckthorndyke.Millis
}

func newTail(
	cfg config, log buckthorndyke.Log, a *arbiter.Arbiter, encoder buckthorndyke.Encoder,
	clock buckthorndyke.Clock, feed *mailer.Feed[buckthorndyke.StateUpdate],
) *tail {
	return &tail{
		appends:   mailer.NewMailbox[struct{}](),
		arbiter:   a,
		backoff:   firstBackoff,
		cfg:       cfg,
		clock:     clock,
		encoder:   encoder,
		feed:      feed,
		log:       log,
		reads:     mailer.NewMailbox[readResult](),
		scan:      newScan(),
		snapshots: mailer.NewMailbox[peerSnapshot](),
	}
}

// Serve implements suture.Service.
func (t *tail) Serve(ctx context.Context) error {
	t.generation++
	t.requesting = false
	t.checkpoints = newCheckpointer(t.cfg, t.clock.Now(), t.update.State.Offset)
	var retry <-chan time.Time
	t.read(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-t.reads.Receive():
			if r.generation != t.generation {
				continue
			}
			if t.handleRead(ctx, r) {
				t.read(ctx)
			} else {
				retry = t.retryTimer()
			}
		case <-retry:
			retry = nil
			t.read(ctx)
		case s := <-t.snapshots.Receive():
			t.handleSnapshot(s)
		case <-t.appends.Receive():
			t.checkpoints = t.checkpoints.withReply(t.clock.Now())
		}
		if err := t.feed.Publish(ctx, t.update); err != nil {
			return err
		}
	}
}

// String implements fmt.Stringer.
func (t *tail) String() string { return "tail" }

// apply applies entries to the state, up to the first gap. A record that cannot be
// decoded counts as an unknown change.
func (t *tail) apply(entries []buckthorndyke.LogEntry) {
	for _, e := range entries {
		if e.Offset > t.update.State.Offset+1 {
			return
		}
		p, err := t.encoder.DecodeProposal(e.Data)
		if err != nil {
			p = buckthorndyke.Proposal{Change: buckthorndyke.UnknownChange{Data: e.Data}}
		}
		if c, ok := p.Change.(buckthorndyke.CheckpointChange); ok {
			t.checkpoints = t.checkpoints.withSeen(c.State.Offset, t.clock.Now())
		}
		t.update.State, _ = t.arbiter.Apply(t.update.State, e.Offset, e.At, p)
	}
}

// handleBatch applies a batch of records that was read from the offset after the state.
// If the log has deleted the next record, it starts a scan.
func (t *tail) handleBatch(ctx context.Context, r readResult) {
	if r.batch.First > t.update.State.Offset+1 {
		// The log has deleted the next record.
		t.scan = newScan()
		t.update.CaughtUp = false
		return
	}
	t.apply(r.batch.Entries)
	if t.update.State.Offset != r.batch.Tail {
		return
	}
	t.update.CaughtUp = true
	t.update.FreshAsOf = r.sent
	t.checkpoint(ctx)
}

// handleRead processes the result of a read and reports whether to send the next read
// immediately.
func (t *tail) handleRead(ctx context.Context, r readResult) bool {
	t.update.LogDown = r.err != nil
	if r.err != nil {
		t.requestSnapshot(ctx)
		return false
	}
	next, scanned, caughtUp := t.next(), t.scan != nil, t.update.CaughtUp
	if !scanned {
		t.handleBatch(ctx, r)
	} else if !t.handleScanBatch(ctx, r) {
		return false
	}
	t.backoff = firstBackoff
	// A read that returned immediately and without progress must not be repeated
	// immediately.
	advanced := t.next() != next || scanned != (t.scan != nil) || caughtUp != t.update.CaughtUp
	return advanced || t.clock.Now()-r.sent >= firstBackoff
}

// next returns the offset from which to read on.
func (t *tail) next() buckthorndyke.Offset {
	if t.scan != nil {
		return t.scan.next
	}
	return t.update.State.Offset + 1
}

// read starts a read and returns without waiting for the result.
func (t *tail) read(ctx context.Context) {
	from, generation, sent := t.next(), t.generation, t.clock.Now()
	wait := t.cfg.readWait
	if !t.update.CaughtUp {
		wait = 0
	}
	go func() {
		limit := (wait + t.cfg.readTimeout).Duration()
		readCtx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		batch, err := t.log.Read(readCtx, buckthorndyke.ControlStream, from, wait)
		_ = t.reads.Send(ctx, readResult{batch: batch, err: err, generation: generation, sent: sent})
	}()
}

// retryTimer returns a channel that receives when the backoff is over, and increases the
// backoff.
func (t *tail) retryTimer() <-chan time.Time {
	d := t.backoff
	t.backoff = min(t.backoff*backoffFactor, maxBackoff)
	return t.clock.After(d)
}
