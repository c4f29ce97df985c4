package loader

import "github.com/buckthorndyke/buckthorndyke"

// grantAllotments applies what a VM has used of callers' allotments, and returns its grants.
// A leader that cannot renew its grant to lead does not grant anything: another VM may lead.
func (t *task) grantAllotments(m demandReported, now buckthorndyke.Millis) []buckthorndyke.AllotmentGrant {
	if !t.leads(now) || now >= t.term.Until {
		return nil
	}
	var grants []buckthorndyke.AllotmentGrant
	t.ledger, grants = t.ledger.WithReport(m.vm, m.demand, now)
	return grants
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
