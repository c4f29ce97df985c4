package selector

import "github.com/buckthorndyke/buckthorndyke"

// heldWeight is the weight of a further request in the average memory of a request.
const heldWeight = 1.0 / 64

// HeldTokens returns the memory for tokens that a request may take: its prompt and the longest
// response.
func (q Query) HeldTokens() int { return q.Tokens + q.OutputTokens }

// FitsMemory reports whether a runner has the memory for the request alone.
func (q Query) FitsMemory() bool { return q.CacheTokens == 0 || q.HeldTokens() <= q.CacheTokens }

// hasMemory reports whether a runner has the memory for tokens that a request may take. The
// other VMs' requests are expected to take as much as this VM's on average, but at least
// their prompts that the runner has not read yet.
func (v View) hasMemory(listed buckthorndyke.Backend, q Query) bool {
	if q.CacheTokens == 0 {
		return true
	}
	others, _ := v.othersAt(listed.ID, q.Now)
	taken := max(int(float64(others)*v.meanHeld), v.othersUnread(listed.ID, q.Now))
	return v.OwnLoad(listed.ID).Held+taken+q.HeldTokens() <= q.CacheTokens
}
