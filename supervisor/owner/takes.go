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
type take struct {
	base buckthorndyke.Offset
	// open is set while its outcome is not known.
	open    bool
	pending bool
	retryAt buckthorndyke.Millis
}

// mayTake reports whether c can be proposed at now.
func (t *task) mayTake(c claim, now buckthorndyke.Millis) bool {
	k, ok := t.takes[c.runner]
	if ok && (k.pending || now < k.retryAt) {
		return false
	}
	if t.outlook.isOwned(c.have) && !c.have.ChecksFencingToken && !c.have.OwnedBy(t.self.VM, t.self.Incarnation) {
		// An earlier life of this VM may have promised to leave the runner alone.
		earlier := t.started + t.lease.WithDrift(t.drift)
		return now >= t.promised[c.runner] && now >= earlier
	}
	return true
}

// proposeTake proposes that this VM owns a runner.
func (t *task) proposeTake(c claim, now buckthorndyke.Millis) {
	t.takes[c.runner] = take{base: c.have.Epoch, open: true, pending: true, retryAt: now + takeRetry}
	o := c.have
	o.Address, o.Domain, o.Runner = c.address, c.domain, c.runner
	o.ChecksFencingToken = t.checksFence(c.runner)
	o = o.WithOwner(t.self.VM, t.self.Incarnation)
	o.Successors = t.outlook.successors(c.runner)
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, takeTimeout.Duration())
		defer cancel()
		t.post(t.tryTake(ctx, c.have.Epoch, o))
	}()
}

// renewSuccessors names other successors of the runners that lack some.
func (t *task) renewSuccessors(now buckthorndyke.Millis) {
	if t.outlook.progress.LogDown || !t.outlook.mayClaim() {
		return
	}
	for _, h := range t.holdings {
		have, _ := t.outlook.progress.State.OwnershipOf(h.runner)
		c := claim{address: have.Address, domain: have.Domain, have: have, runner: h.runner}
		if h.quiescing || now < h.renewAt || !t.outlook.lacksSuccessors(have) || !t.mayTake(c, now) {
			continue
		}
		h.renewAt = now + renewInterval
		t.proposeTake(c, now)
	}
}

// settleTake takes over the outcome of a proposal.
func (t *task) settleTake(m takeSettled) {
	k := t.takes[m.runner]
	k.pending = false
	k.open = m.err != nil && buckthorndyke.VerdictOf(m.err) != buckthorndyke.NotRun
	t.takes[m.runner] = k
	if !k.open && (m.err == nil && m.ruling.Accepted) {
		delete(t.takes, m.runner)
	}
	t.finishDrain()
}

// takeClaims proposes to take the runners that this VM should own.
func (t *task) takeClaims(now buckthorndyke.Millis) {
	if t.outlook.progress.LogDown {
		return
	}
	for _, c := range t.outlook.claims(now) {
		if t.mayTake(c, now) {
			t.proposeTake(c, now)
		}
	}
}

// tryTake asks the runner for its size and proposes the ownership. A runner
// that does not answer keeps the size that is on record.
func (t *task) tryTake(ctx context.Context, base buckthorndyke.Offset, o buckthorndyke.Ownership) takeSettled {
	settled := takeSettled{base: base, runner: o.Runner}
	if o.MemoryMB == 0 {
		status, err := t.engines.At(o.Address).Status(ctx)
		if err != nil {
			settled.err = buckthorndyke.NewRefusal(buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun, err.Error())
			return settled
		}
		o.MemoryMB, o.Slots = status.MemoryMB, status.Slots
	}
	settled.ruling, settled.err = t.proposer.Propose(ctx, buckthorndyke.TakeChange{Base: base, Ownership: o})
	return settled
}

// taking reports whether a proposal waits for its ruling.
func (t *task) taking() bool {
	for _, k := range t.takes {
		if k.pending {
			return true
		}
	}
	return false
}
