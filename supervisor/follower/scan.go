package follower

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// scan is the search for the newest checkpoint that can be used.
type scan struct {
	// found is the newest checkpoint so far, if any.
	found *buckthorndyke.State
	// next is the offset to read from.
	next buckthorndyke.Offset
}

func newScan() *scan {
	return &scan{next: buckthorndyke.NoOffset + 1}
}

// usable reports whether the log still keeps all records after state.
func retained(state buckthorndyke.State, first buckthorndyke.Offset) bool {
	return state.Offset+1 >= first
}

// search takes a batch of the scan into account and reports whether it got
// anywhere.
func (t *tail) handleScanBatch(ctx context.Context, r readResult) bool {
	if r.batch.First > t.scan.next {
		t.scan.next = r.batch.First
		return true
	}
	for _, e := range r.batch.Entries {
		t.scan.next = e.Offset + 1
		p, err := t.encoder.DecodeProposal(e.Data)
		c, ok := p.Change.(buckthorndyke.CheckpointChange)
		if ok && err == nil && c.State.Offset < e.Offset {
			t.scan.found = &c.State
		}
	}
	if t.scan.next <= r.batch.Tail {
		return true
	}
	return t.startFollowing(ctx, r.batch.First)
}

// start begins to follow from the newest of the checkpoint, the state that is
// held already and the empty state, and reports whether the log keeps all
// records after it. If it does not, a peer must help.
func (t *tail) startFollowing(ctx context.Context, first buckthorndyke.Offset) bool {
	state := t.update.State
	if t.scan.found != nil && t.scan.found.Offset > state.Offset {
		state = *t.scan.found
	}
	if !retained(state, first) {
		t.scan = newScan()
		t.requestSnapshot(ctx)
		return false
	}
	t.update.State = state
	t.checkpoints = t.checkpoints.withSeen(state.Offset, t.clock.Now())
	t.scan = nil
	return true
}
