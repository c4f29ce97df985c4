package owner

import "github.com/buckthorndyke/buckthorndyke"

const (
	// balanceInterval is the minimum time between two handovers that balance the
	// number of runners per VM.
	balanceInterval = 2 * buckthorndyke.Second
	// minImbalance is the minimum difference between the numbers of runners of two
	// VMs that causes a handover. At a smaller difference, runners would move back
	// and forth.
	minImbalance = 2
)

// balance hands one runner over if another live member owns fewer. Running
// requests continue.
func (t *task) balance(now buckthorndyke.Millis) {
	if now < t.balanceAt || t.fleet.update.LogDown || !t.fleet.mayOwn() || t.taking() {
		return
	}
	t.balanceAt = now + balanceInterval
	r := t.nextToHandOver()
	if r == nil || !t.fleet.shouldHandOver() {
		return
	}
	t.handOver(r, r.steward.Yield())
}

// nextToHandOver returns the owned runner with the lowest ID, or nil while a
// runner is being handed over.
func (t *task) nextToHandOver() *ownedRunner {
	var first *ownedRunner
	for runner, r := range t.owned {
		if r.quiescing {
			return nil
		}
		if first == nil || runner < first.runner {
			first = r
		}
	}
	return first
}

// shouldHandOver reports whether another live member owns at least minImbalance
// runners fewer than this VM.
func (v fleetView) shouldHandOver() bool {
	live := v.liveMembers()
	counts := v.ownedCounts(live)
	for _, vm := range live {
		if counts[v.self.VM]-counts[vm] >= minImbalance {
			return true
		}
	}
	return false
}
