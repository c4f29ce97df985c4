package follower

import (
	"context"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/arbiter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// tail is the task that reads the control stream. It reads, asks peers and
// appends in goroutines that send their results to its mailboxes.
type tail struct {
	// appends receives once an append of a checkpoint has ended.
	appends  *mailer.Mailbox[struct{}]
	arbiter  *arbiter.Arbiter
	cfg      config
	clock    buckthorndyke.Clock
	encoder  buckthorndyke.Encoder
	feed     *mailer.Feed[buckthorndyke.StateUpdate]
	log      buckthorndyke.Log
	offers   *mailer.Mailbox[offer]
	reads    *mailer.Mailbox[readResult]
	backoff  buckthorndyke.Millis
	progress buckthorndyke.StateUpdate
	// asking is set while peers are asked for their state.
	asking bool
	// checkpoints knows when the next checkpoint is due.
	checkpoints checkpointer
	// life tells the results of reads of an earlier Serve from the current ones.
	life int
	// scan is set while the follower looks for a checkpoint to start from.
	scan *scan
}

type readResult struct {
	batch buckthorndyke.LogBatch
	err   error
	life  int
	// sent is the instant before the read was sent.
	sent buckthorndyke.Millis
}

func newTail(
	cfg config, log buckthorndyke.Log, a *arbiter.Arbiter, encoder buckthorndyke.Encoder,
	clock buckthorndyke.Clock, feed *mailer.Feed[buckthorndyke.StateUpdate],
) *tail {
	return &tail{
		appends: mailer.NewMailbox[struct{}](),
		arbiter: a,
		backoff: firstBackoff,
		cfg:     cfg,
		clock:   clock,
		encoder: encoder,
		feed:    feed,
		log:     log,
		offers:  mailer.NewMailbox[offer](),
		reads:   mailer.NewMailbox[readResult](),
		scan:    newScan(),
	}
}

// Serve implements suture.Service.
func (t *tail) Serve(ctx context.Context) error {
	t.life++
	t.asking = false
	t.checkpoints = newCheckpointer(t.cfg, t.clock.Now(), t.progress.State.Offset)
	var retry <-chan time.Time
	t.read(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-t.reads.Receive():
			if r.life != t.life {
				continue
			}
			if t.handleRead(ctx, r) {
				t.read(ctx)
			} else {
				retry = t.wait()
			}
		case <-retry:
			retry = nil
			t.read(ctx)
		case o := <-t.offers.Receive():
			t.handleOffer(o)
		case <-t.appends.Receive():
			t.checkpoints = t.checkpoints.withAnswer(t.clock.Now())
		}
		if err := t.feed.Publish(ctx, t.progress); err != nil {
			return err
		}
	}
}

// String implements fmt.Stringer.
func (t *tail) String() string { return "tail" }

// fold folds entries into the state, up to the first gap. A record that cannot
// be decoded is an unknown one.
func (t *tail) fold(entries []buckthorndyke.LogEntry) {
	for _, e := range entries {
		if e.Offset > t.progress.State.Offset+1 {
			return
		}
		p, err := t.encoder.DecodeProposal(e.Data)
		if err != nil {
			p = buckthorndyke.Proposal{Change: buckthorndyke.UnknownChange{Data: e.Data}}
		}
		if c, ok := p.Change.(buckthorndyke.CheckpointChange); ok {
			t.checkpoints = t.checkpoints.withSeen(c.State.Offset, t.clock.Now())
		}
		t.progress.State, _ = t.arbiter.Apply(t.progress.State, e.Offset, e.At, p)
	}
}

// follow takes a batch of records that follow the state into account.
func (t *tail) follow(ctx context.Context, r readResult) {
	if r.batch.First > t.progress.State.Offset+1 {
		// The log no longer keeps the next record.
		t.scan = newScan()
		t.progress.CaughtUp = false
		return
	}
	t.fold(r.batch.Entries)
	if t.progress.State.Offset != r.batch.Tail {
		return
	}
	t.progress.CaughtUp = true
	t.progress.FreshAsOf = r.sent
	t.checkpoint(ctx)
}

// handleRead takes the answer to a read into account and reports whether to
// read on at once.
func (t *tail) handleRead(ctx context.Context, r readResult) bool {
	t.progress.LogDown = r.err != nil
	if r.err != nil {
		t.ask(ctx)
		return false
	}
	next, scanned, atTail := t.next(), t.scan != nil, t.progress.CaughtUp
	if !scanned {
		t.follow(ctx, r)
	} else if !t.search(ctx, r) {
		return false
	}
	t.backoff = firstBackoff
	// A read that brought nothing and did not wait must not be sent again at once.
	moved := t.next() != next || scanned != (t.scan != nil) || atTail != t.progress.CaughtUp
	return moved || t.clock.Now()-r.sent >= firstBackoff
}

// next returns the offset to read from.
func (t *tail) next() buckthorndyke.Offset {
	if t.scan != nil {
		return t.scan.next
	}
	return t.progress.State.Offset + 1
}

// read sends one read and returns without waiting for its answer.
func (t *tail) read(ctx context.Context) {
	from, life, sent := t.next(), t.life, t.clock.Now()
	wait := t.cfg.readWait
	if !t.progress.CaughtUp {
		wait = 0
	}
	go func() {
		limit := (wait + t.cfg.readTimeout).Duration()
		readCtx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		batch, err := t.log.Read(readCtx, buckthorndyke.ControlStream, from, wait)
		_ = t.reads.Send(ctx, readResult{batch: batch, err: err, life: life, sent: sent})
	}()
}

// wait returns a channel that receives once it is time for the next read.
func (t *tail) wait() <-chan time.Time {
	d := t.backoff
	t.backoff = min(t.backoff*backoffFactor, maxBackoff)
	return t.clock.After(d)
}
