package loader

import "github.com/buckthorndyke/buckthorndyke"

// limitedPollLimit is how long the reply to the report of a VM whose callers have allotments
// is held back: requests that need a grant meanwhile wait for the VM's next report.
const limitedPollLimit = 100 * buckthorndyke.Millisecond

// grantAllotments applies what a VM has used of callers' allotments, and returns its grants.
// A leader that cannot renew its grant to lead does not grant anything: another VM may lead.
func (t *task) grantAllotments(m demandReported, now buckthorndyke.Millis) demandReported {
	if m.demand.Number == 0 || !t.leads(now) || now >= t.term.Until {
		return m
	}
	t.ledger, m.grants = t.ledger.WithReport(m.vm, m.demand, now)
	m.position = t.ledger.PositionAt(t.term.Position, now)
	return m
}

// waitsForGrant reports whether requests at the VM that reports wait for a grant. The reply
// is not held back then.
func waitsForGrant(r buckthorndyke.DemandReport) bool {
	for _, u := range r.Allotments {
		if u.Waiting > 0 {
			return true
		}
	}
	return false
}

// holdLimit returns how long the reply to a report is held back at most.
func holdLimit(r buckthorndyke.DemandReport) buckthorndyke.Millis {
	if len(r.Allotments) > 0 {
		return limitedPollLimit
	}
	return longPollLimit
}
