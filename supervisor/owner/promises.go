package owner

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/buckthorndyke/buckthorndyke"
)

// leaseParts is the number of times in a lease that promises are renewed.
const leaseParts = 4

// answerPromises extends the lease of a runner whose successors have promised.
func (t *task) answerPromises(m promisesAnswered) {
	h, ok := t.holdings[m.runner]
	if !ok {
		return
	}
	h.promising = false
	have, _ := t.outlook.progress.State.OwnershipOf(m.runner)
	if m.given && have.Epoch == m.epoch {
		h.lease = max(h.lease, m.asked+t.lease)
		h.steward.Update(t.viewOf(h))
	}
}

// askPromises asks the successors of each runner that ignores fencing numbers
// not to take it over, while the log is down.
func (t *task) askPromises(now buckthorndyke.Millis) {
	if !t.outlook.progress.LogDown {
		return
	}
	for _, h := range t.holdings {
		have, _ := t.outlook.progress.State.OwnershipOf(h.runner)
		if have.ChecksFencingToken || h.promising || len(have.Successors) == 0 || now < h.promisedAt+t.lease/leaseParts {
			continue
		}
		h.promising = true
		h.promisedAt = now
		t.askSuccessors(have, now)
	}
}

// askSuccessors asks all successors of a runner for a promise.
func (t *task) askSuccessors(have buckthorndyke.Ownership, now buckthorndyke.Millis) {
	peers := make([]buckthorndyke.Peer, 0, len(have.Successors))
	for _, vm := range have.Successors {
		if m, ok := t.outlook.progress.State.Members.Get(vm); ok {
			peers = append(peers, t.peers.At(m.PeerAddress))
		}
	}
	r := buckthorndyke.PromiseRequest{Epoch: have.Epoch, For: t.lease, Owner: t.self.VM, Runner: have.Runner}
	m := promisesAnswered{asked: now, epoch: have.Epoch, given: true, runner: have.Runner}
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, (t.lease / leaseParts).Duration())
		defer cancel()
		answers := make([]bool, len(peers))
		var group errgroup.Group
		for i, peer := range peers {
			group.Go(func() error {
				var err error
				answers[i], err = peer.Promise(ctx, r)
				return err
			})
		}
		m.given = group.Wait() == nil && len(peers) == len(have.Successors)
		for _, given := range answers {
			m.given = m.given && given
		}
		t.post(m)
	}()
}

// promise promises not to take a runner over for a time, unless its owner has
// changed or this VM may already have proposed to take it.
func (t *task) promise(r buckthorndyke.PromiseRequest) bool {
	have, _ := t.outlook.progress.State.OwnershipOf(r.Runner)
	if have.Epoch > r.Epoch || have.Epoch == r.Epoch && have.Owner != r.Owner {
		return false
	}
	if k, ok := t.takes[r.Runner]; ok && k.open && k.base >= r.Epoch {
		return false
	}
	if r.For <= 0 || r.For > t.lease {
		return false
	}
	until := t.clock.Now() + r.For.WithDrift(t.drift)
	t.promised[r.Runner] = max(t.promised[r.Runner], until)
	return true
}
