package owner

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// renewInterval is the least time between two renewals of a runner's
	// successors.
	renewInterval = 5 * buckthorndyke.Second
	// takeRetry is the wait after a take that failed or was rejected.
	takeRetry = buckthorndyke.Second
	// takeTimeout bounds the wait for a take's ruling.
	takeTimeout = 10 * buckthorndyke.Second
)

// take is the standing of a proposal to take a runner.
type takeProposal struct {
	base buckthorndyke.Offset
	// open is set while its outcome is not known.
	outcomeUnknown bool
	pending        bool
	retryAt        buckthorndyke.Millis
}

// settleTake takes over the outcome of a proposal.
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

// mayTake reports whether c can be proposed at now.
func (t *task) mayTake(info runnerInfo, now buckthorndyke.Millis) bool {
	p, ok := t.takes[info.runner]
	if ok && (p.pending || now < p.retryAt) {
		return false
	}
	if t.fleet.isOwned(info.ownership) && !info.ownership.ChecksFencingToken && !info.ownership.OwnedBy(t.self.VM, t.self.Incarnation) {
		// An earlier life of this VM may have promised to leave the runner alone.
		earliest := t.startedAt + t.lease.WithDrift(t.driftPermille)
		return now >= t.ownPromises[info.runner] && now >= earliest
	}
	return true
}

// proposeTake proposes that this VM owns a runner.
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

// renewSuccessors names other successors of the runners that lack some.
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

// takeClaims proposes to take the runners that this VM should own.
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

// taking reports whether a proposal waits for its ruling.
func (t *task) taking() bool {
	for _, p := range t.takes {
		if p.pending {
			return true
		}
	}
	return false
}

// tryTake asks the runner for its size and proposes the ownership. A runner
// that does not answer keeps the size that is on record.
func (t *task) tryTake(ctx context.Context, base buckthorndyke.Offset, ownership buckthorndyke.Ownership) takeCompleted {
	settled := takeCompleted{base: base, runner: ownership.Runner}
	if ownership.MemoryMB == 0 {
		status, err := t.engines.At(ownership.Address).Status(ctx)
		if err != nil {
			settled.err = buckthorndyke.NewRefusal(buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun, err.Error())
			return settled
		}
		ownership.MemoryMB, ownership.Slots = status.MemoryMB, status.Slots
	}
	settled.result, settled.err = t.proposer.Propose(ctx, buckthorndyke.TakeChange{Base: base, Ownership: ownership})
	return settled
}
