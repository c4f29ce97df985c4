package follower

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// scan is a search of the stream for the newest usable checkpoint.
type scan struct {
	// found is the newest checkpoint so far, if any.
	found *buckthorndyke.State
	// next is the offset from which to read on.
	next buckthorndyke.Offset
}

func newScan() *scan {
	return &scan{next: buckthorndyke.NoOffset + 1}
}

// retained reports whether the log, whose oldest record is at first, retains all records
// after state.
func retained(state buckthorndyke.State, first buckthorndyke.Offset) bool {
	return state.Offset+1 >= first
}

// handleScanBatch processes a batch of the scan. It returns false if the scan has ended
// without a state to start from.
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

// startFollowing ends the scan and follows the stream from the newer of the checkpoint
// found and the present state, which may be empty. If the log does not retain all records
// after that state, it restarts the scan, requests the state of a peer and returns
// false.
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
