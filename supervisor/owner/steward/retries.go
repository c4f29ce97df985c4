package steward

import "github.com/buckthorndyke/buckthorndyke"

// Waits before a failed order is given again.
const (
	retryBase  = 500 * buckthorndyke.Millisecond
	retryLimit = 30 * buckthorndyke.Second
)

// retries holds back models whose last order failed. It is immutable.
type retries struct {
	at    buckthorndyke.Table[buckthorndyke.ModelID, buckthorndyke.Millis]
	waits buckthorndyke.Table[buckthorndyke.ModelID, buckthorndyke.Millis]
}

// newRetries returns retries that hold nothing back.
func newRetries() retries {
	return retries{}
}

// next returns the first instant after now at which a model may be tried again,
// or 0.
func (r retries) next(now buckthorndyke.Millis) buckthorndyke.Millis {
	var next buckthorndyke.Millis
	for _, at := range r.at.All() {
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	return next
}

// withFailure returns retries that hold model back for twice its last wait.
func (r retries) withFailure(model buckthorndyke.ModelID, now buckthorndyke.Millis) retries {
	wait, _ := r.waits.Get(model)
	wait = min(max(2*wait, retryBase), retryLimit)
	r.waits = r.waits.With(model, wait)
	r.at = r.at.With(model, now+wait)
	return r
}

// without returns retries that do not hold model back.
func (r retries) without(model buckthorndyke.ModelID) retries {
	r.at = r.at.Without(model)
	r.waits = r.waits.Without(model)
	return r
}
