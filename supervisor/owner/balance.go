package owner

import "github.com/buckthorndyke/buckthorndyke"

const (
	// balanceInterval is the least time between two runners that this VM hands
	// over to another that owns fewer.
	balanceInterval = 2 * buckthorndyke.Second
	// balanceGap is the least difference that is worth a handover. At less, the
	// runners would go back and forth.
	balanceGap = 2
)

// balance hands one runner over if another live member owns fewer. The requests
// that run go on.
func (t *task) balance(now buckthorndyke.Millis) {
	if now < t.balanceAt || t.outlook.progress.LogDown || !t.outlook.mayClaim() || t.taking() {
		return
	}
	t.balanceAt = now + balanceInterval
	h := t.lightest()
	if h == nil || !t.outlook.isOverloaded() {
		return
	}
	t.handOver(h, h.steward.Yield())
}

// lightest returns the holding with the lowest id, or nil while one is being
// handed over.
func (t *task) lightest() *holding {
	var first *holding
	for runner, h := range t.holdings {
		if h.quiescing {
			return nil
		}
		if first == nil || runner < first.runner {
			first = h
		}
	}
	return first
}

// isOverloaded reports whether another live member owns so many fewer runners
// that this VM should hand one over.
func (o outlook) isOverloaded() bool {
	live := o.liveMembers()
	counts := o.ownedCounts(live)
	for _, vm := range live {
		if counts[o.self.VM]-counts[vm] >= balanceGap {
			return true
		}
	}
	return false
}
