package dispatcher

import "github.com/buckthorndyke/buckthorndyke"

// urgency returns the urgency of the request at its server, 0 for the most urgent ones. A long
// prompt that yields to others comes between its own priority and the next one.
func (j *job) urgency() int {
	urgency := j.priority * urgencyStep
	if j.yields {
		urgency += urgencyStep / 2
	}
	return min(urgency, maxUrgency)
}

// yields reports whether a server should read the prompt of a request after shorter ones.
func (t *task) yields(m admissionRequested, backend buckthorndyke.Backend) bool {
	if t.ignoresLongPrompts {
		return false
	}
	t.view = t.view.WithTarget(m.query)
	if !t.view.Yields(backend, m.query) {
		return false
	}
	t.meter.Count(buckthorndyke.MetricPromptsYielded, 1)
	return true
}
