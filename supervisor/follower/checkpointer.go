package follower

import (
	"context"
	"slices"

	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

const (
	// checkpointKey is hashed with the members to choose who appends.
	checkpointKey = "checkpoint"
	// turnPart is the part of the interval after which the next member in turn
	// appends, in case that the one before it does not.
	turnsPerInterval = 4
	// appendRetry is the time between two tries to append a checkpoint.
	appendRetryInterval = 10 * buckthorndyke.Second
)

// checkpointer knows when a checkpoint is due. It is immutable.
type checkpointer struct {
	age buckthorndyke.Millis
	// tried is the instant of the last answer to an append.
	lastReply buckthorndyke.Millis
	pending   bool
	records   buckthorndyke.Offset
	// seen is the offset of the newest state in a checkpoint, seen at seenAt.
	seen   buckthorndyke.Offset
	seenAt buckthorndyke.Millis
}

func newCheckpointer(cfg config, now buckthorndyke.Millis, seen buckthorndyke.Offset) checkpointer {
	return checkpointer{age: cfg.checkpointAge, records: cfg.checkpointRecords, seen: seen, seenAt: now}
}

// due reports whether the member that is in turn after others may append.
func (c checkpointer) due(state buckthorndyke.State, now buckthorndyke.Millis, turn int) bool {
	if c.pending || state.Offset <= c.seen || now < c.lastReply+appendRetryInterval && c.lastReply > 0 {
		return false
	}
	if state.UnknownRecords > 0 {
		// Others may know what this version of the program does not.
		turn += turnsPerInterval
	}
	records := c.records + c.records*buckthorndyke.Offset(turn)/turnsPerInterval
	age := c.age + c.age*buckthorndyke.Millis(turn)/turnsPerInterval
	return state.Offset-c.seen >= records || now-c.seenAt >= age
}

// withPending returns a copy that waits for the answer to an append.
func (c checkpointer) withPending() checkpointer {
	c.pending = true
	return c
}

// withAnswer returns a copy that knows the answer to an append.
func (c checkpointer) withReply(now buckthorndyke.Millis) checkpointer {
	c.pending = false
	c.lastReply = now
	return c
}

// withSeen returns a copy that has seen a checkpoint of the state at offset.
func (c checkpointer) withSeen(offset buckthorndyke.Offset, now buckthorndyke.Millis) checkpointer {
	if offset > c.seen {
		c.seen = offset
		c.seenAt = now
	}
	return c
}

// checkpoint appends a checkpoint if one is due and it is this VM's turn.
func (t *tail) checkpoint(ctx context.Context) {
	state, now := t.update.State, t.clock.Now()
	if !t.checkpoints.due(state, now, 0) {
		return
	}
	turn := turnOf(state, t.cfg.self.VM)
	if turn < 0 || !t.checkpoints.due(state, now, turn) {
		return
	}
	data, err := t.encoder.EncodeProposal(buckthorndyke.Proposal{
		Change:      buckthorndyke.CheckpointChange{State: state},
		ID:          buckthorndyke.ProposalID(uuid.NewString()),
		Incarnation: t.cfg.self.Incarnation,
		Proposer:    t.cfg.self.VM,
	})
	if err != nil {
		return
	}
	t.checkpoints = t.checkpoints.withPending()
	go func() {
		appendCtx, cancel := context.WithTimeout(ctx, t.cfg.readTimeout.Duration())
		defer cancel()
		// A failed append is tried again once it is due again.
		_, _ = t.log.Append(appendCtx, buckthorndyke.ControlStream, data)
		_ = t.appends.Send(ctx, struct{}{})
	}()
}

// turnOf returns how many members append a checkpoint before vm, or -1 if vm is
// not a member.
func turnOf(state buckthorndyke.State, vm buckthorndyke.VMID) int {
	vms := make([]buckthorndyke.VMID, 0, state.Members.Len())
	for id := range state.Members.All() {
		vms = append(vms, id)
	}
	return slices.Index(placer.Rank(checkpointKey, vms), vm)
}
