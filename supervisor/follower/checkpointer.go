package follower

import (
	"context"
	"slices"

	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

const (
	// checkpointKey is hashed with the members to determine the order of their turns.
	checkpointKey = "checkpoint"
	// turnsPerInterval is the number of members that get their turn within one
	// checkpoint interval: if a member does not append a due checkpoint, the next one
	// may do so after another quarter of the interval.
	turnsPerInterval = 4
	// appendRetryInterval is the time between attempts to append a checkpoint.
	appendRetryInterval = 10 * buckthorndyke.Second
)

// checkpointer determines when a checkpoint is due. It is immutable.
type checkpointer struct {
	age buckthorndyke.Millis
	// lastReply is the instant at which the last append ended, or 0 if none has.
	lastReply buckthorndyke.Millis
	pending   bool
	records   buckthorndyke.Offset
	// seen is the offset of the newest state in a checkpoint, which was read at seenAt.
	seen   buckthorndyke.Offset
	seenAt buckthorndyke.Millis
}

func newCheckpointer(cfg config, now buckthorndyke.Millis, seen buckthorndyke.Offset) checkpointer {
	return checkpointer{age: cfg.checkpointAge, records: cfg.checkpointRecords, seen: seen, seenAt: now}
}

// due reports whether a member may append a checkpoint if the given number of members
// have their turn before it.
func (c checkpointer) due(state buckthorndyke.State, now buckthorndyke.Millis, turn int) bool {
	if c.pending || state.Offset <= c.seen || now < c.lastReply+appendRetryInterval && c.lastReply > 0 {
		return false
	}
	if state.UnknownRecords > 0 {
		// A member with a newer version of the program may know these records, so that
		// its checkpoint is more complete.
		turn += turnsPerInterval
	}
	records := c.records + c.records*buckthorndyke.Offset(turn)/turnsPerInterval
	age := c.age + c.age*buckthorndyke.Millis(turn)/turnsPerInterval
	return state.Offset-c.seen >= records || now-c.seenAt >= age
}

// withPending returns a copy with an append under way.
func (c checkpointer) withPending() checkpointer {
	c.pending = true
	return c
}

// withReply returns a copy after an append has ended.
func (c checkpointer) withReply(now buckthorndyke.Millis) checkpointer {
	c.pending = false
	c.lastReply = now
	return c
}

// withSeen returns a copy after a checkpoint of the state at offset was read.
func (c checkpointer) withSeen(offset buckthorndyke.Offset, now buckthorndyke.Millis) checkpointer {
	if offset > c.seen {
		c.seen = offset
		c.seenAt = now
	}
	return c
}

// checkpoint starts to append a checkpoint if one is due and it is this VM's turn.
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
		// After a failure the checkpoint remains due and is appended again later.
		_, _ = t.log.Append(appendCtx, buckthorndyke.ControlStream, data)
		_ = t.appends.Send(ctx, struct{}{})
	}()
}

// turnOf returns how many members have their turn to append a checkpoint before vm, or
// -1 if vm is not a member.
func turnOf(state buckthorndyke.State, vm buckthorndyke.VMID) int {
	vms := make([]buckthorndyke.VMID, 0, state.Members.Len())
	for id := range state.Members.All() {
		vms = append(vms, id)
	}
	return slices.Index(placer.Rank(checkpointKey, vms), vm)
}
