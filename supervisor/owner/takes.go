package owner

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// renewInterval is the minimum time between two proposals that replace the
	// successors of a runner.
	renewInterval = 5 * buckthorndyke.Second
	// takeRetry is the minimum time before a take that failed or was rejected is
	// proposed again.
	takeRetry = buckthorndyke.Second
	// takeTimeout limits the wait for the result of a proposed take.
	takeTimeout = 10 * buckthorndyke.Second
)

// takeProposal is the status of the last proposal to take a runner.
type takeProposal struct {
	base buckthorndyke.Offset
	// outcomeUnknown is set while the proposal may still be accepted.
	outcomeUnknown bool
	// pending is set until the proposal returns.
	pending bool
	retryAt buckthorndyke.Millis
}

// completeTake applies the outcome of a proposed take.
func (t *task) completeTake(m takeCompleted) {
	p := t.takes[m.runner]
	p.pending = false
	p.outcomeUnknown = m.err != nil && buckthorndyke.VerdictOf(m.err) != buckthorndyke.NotRun
	t.takes[m.runner] = p
	if !p.outcomeUnknown && (m.err == nil && m.result.Accepted) {
		delete(t.takes, m.runner)
	}
	t.finishDrain()
}

// mayTake reports whether this VM may propose at now to take a runner.
func (t *task) mayTake(info runnerInfo, now buckthorndyke.Millis) bool {
	p, ok := t.takes[info.runner]
	if ok && (p.pending || now < p.retryAt) {
		return false
	}
	if t.fleet.isOwned(info.ownership) && !info.ownership.ChecksFencingToken && !info.ownership.OwnedBy(t.self.VM, t.self.Incarnation) {
		// An earlier incarnation of this VM may have promised not to take over the
		// runner.
		earliest := t.startedAt + t.lease.WithDrift(t.driftPermille)
		return now >= t.ownPromises[info.runner] && now >= earliest
	}
	return true
}

// proposeTake proposes this VM as the owner of a runner.
func (t *task) proposeTake(info runnerInfo, now buckthorndyke.Millis) {
	t.takes[info.runner] = takeProposal{base: info.ownership.Epoch, outcomeUnknown: true, pending: true, retryAt: now + takeRetry}
	ownership := info.ownership
	ownership.Address, ownership.Domain, ownership.Runner = info.address, info.domain, info.runner
	ownership.ChecksFencingToken = t.checksFencingToken(info.runner)
	ownership = ownership.WithOwner(t.self.VM, t.self.Incarnation)
	ownership.Successors = t.fleet.successors(info.runner)
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, takeTimeout.Duration())
		defer cancel()
		t.post(t.tryTake(ctx, info.ownership.Epoch, ownership))
	}()
}

// renewSuccessors proposes new successors for the owned runners that lack some, by
// taking them again.
func (t *task) renewSuccessors(now buckthorndyke.Millis) {
	if t.fleet.update.LogDown || !t.fleet.mayOwn() {
		return
	}
	for _, r := range t.owned {
		ownership, _ := t.fleet.update.State.OwnershipOf(r.runner)
		info := runnerInfo{address: ownership.Address, domain: ownership.Domain, ownership: ownership, runner: r.runner}
		if r.quiescing || now < r.renewAt || !t.fleet.lacksSuccessors(ownership) || !t.mayTake(info, now) {
			continue
		}
		r.renewAt = now + renewInterval
		t.proposeTake(info, now)
	}
}

// takeRunners proposes to take the runners that this VM should own.
func (t *task) takeRunners(now buckthorndyke.Millis) {
	if t.fleet.update.LogDown {
		return
	}
	for _, info := range t.fleet.runnersToTake(now) {
		if t.mayTake(info, now) {
			t.proposeTake(info, now)
		}
	}
}

// taking reports whether any proposed take is pending.
func (t *task) taking() bool {
	for _, p := range t.takes {
		if p.pending {
			return true
		}
	}
	return false
}

// tryTake proposes ownership. If the memory size of the runner is not on record, it
// reads size and slots from the runner first and fails if the runner does not
// respond.
func (t *task) tryTake(ctx context.Context, base buckthorndyke.Offset, ownership buckthorndyke.Ownership) takeCompleted {
	completed := takeCompleted{base: base, runner: ownership.Runner}
	if ownership.MemoryMB == 0 {
		status, err := t.engines.At(ownership.Address).Status(ctx)
		if err != nil {
			completed.err = buckthorndyke.NewRefusal(buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun, err.Error())
			return completed
		}
		ownership.MemoryMB, ownership.Slots = status.MemoryMB, status.Slots
	}
	completed.result, completed.err = t.proposer.Propose(ctx, buckthorndyke.TakeChange{Base: base, Ownership: ownership})
	return completed
}
