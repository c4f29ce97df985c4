package owner

import "github.com/buckthorndyke/buckthorndyke"

const (
	// balanceInterval is the least time between two runners that this VM hands
	// over to another that owns fewer.
	balanceInterval = 2 * buckthorndyke.Second
	// balanceGap is the least difference that is worth a handover. At less, the
	// runners would go back and forth.
	minImbalance = 2
)

// balance hands one runner over if another live member owns fewer. The requests
// that run go on.
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

// lightest returns the holding with the lowest id, or nil while one is being
// handed over.
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

// isOverloaded reports whether another live member owns so many fewer runners
// that this VM should hand one over.
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
