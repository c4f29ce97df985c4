package owner

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/buckthorndyke/buckthorndyke"
)

// leaseParts is the number of times per lease that promises are renewed.
const leaseParts = 4

// applyPromises extends the lease of a runner whose successors have all promised.
func (t *task) applyPromises(m promisesReplied) {
	r, ok := t.owned[m.runner]
	if !ok {
		return
	}
	r.promisesPending = false
	ownership, _ := t.fleet.update.State.OwnershipOf(m.runner)
	if m.promised && ownership.Epoch == m.epoch {
		r.promisedUntil = max(r.promisedUntil, m.askedAt+t.lease)
		r.steward.Update(t.viewOf(r))
	}
}

// askPromises asks the successors of each runner that ignores fencing tokens not to
// take it over. It does so only while the log is down, when the lease cannot be
// renewed from the log.
func (t *task) askPromises(now buckthorndyke.Millis) {
	if !t.fleet.update.LogDown {
		return
	}
	for _, r := range t.owned {
		ownership, _ := t.fleet.update.State.OwnershipOf(r.runner)
		if ownership.ChecksFencingToken || r.promisesPending || len(ownership.Successors) == 0 || now < r.promisesAskedAt+t.lease/leaseParts {
			continue
		}
		r.promisesPending = true
		r.promisesAskedAt = now
		t.askSuccessors(ownership, now)
	}
}

// askSuccessors asks all successors of a runner for a promise.
func (t *task) askSuccessors(ownership buckthorndyke.Ownership, now buckthorndyke.Millis) {
	peers := make([]buckthorndyke.Peer, 0, len(ownership.Successors))
	for _, vm := range ownership.Successors {
		if m, ok := t.fleet.update.State.Members.Get(vm); ok {
			peers = append(peers, t.peers.At(m.PeerAddress))
		}
	}
	r := buckthorndyke.PromiseRequest{Epoch: ownership.Epoch, For: t.lease, Owner: t.self.VM, Runner: ownership.Runner}
	m := promisesReplied{askedAt: now, epoch: ownership.Epoch, promised: true, runner: ownership.Runner}
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, (t.lease / leaseParts).Duration())
		defer cancel()
		replies := make([]bool, len(peers))
		var group errgroup.Group
		for i, peer := range peers {
			group.Go(func() error {
				var err error
				replies[i], err = peer.Promise(ctx, r)
				return err
			})
		}
		m.promised = group.Wait() == nil && len(peers) == len(ownership.Successors)
		for _, promised := range replies {
			m.promised = m.promised && promised
		}
		t.post(m)
	}()
}

// promise promises not to take over a runner for the requested time and reports
// whether it did. It refuses if the owner has changed, if this VM may already have
// proposed to take the runner, or if the time is longer than a lease.
func (t *task) promise(r buckthorndyke.PromiseRequest) bool {
	ownership, _ := t.fleet.update.State.OwnershipOf(r.Runner)
	if ownership.Epoch > r.Epoch || ownership.Epoch == r.Epoch && ownership.Owner != r.Owner {
		return false
	}
	if p, ok := t.takes[r.Runner]; ok && p.outcomeUnknown && p.base >= r.Epoch {
		return false
	}
	if r.For <= 0 || r.For > t.lease {
		return false
	}
	until := t.clock.Now() + r.For.WithDrift(t.driftPermille)
	t.ownPromises[r.Runner] = max(t.ownPromises[r.Runner], until)
	return true
}
