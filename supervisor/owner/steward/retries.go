package steward

import "github.com/buckthorndyke/buckthorndyke"

// Minimum and maximum wait before a failed order is issued again.
const (
	retryBase  = 500 * buckthorndyke.Millisecond
	retryLimit = 30 * buckthorndyke.Second
)

// retries delays orders for models whose last order failed, with exponential
// backoff. It is immutable.
type retries struct {
	at    buckthorndyke.Table[buckthorndyke.ModelID, buckthorndyke.Millis]
	waits buckthorndyke.Table[buckthorndyke.ModelID, buckthorndyke.Millis]
}

// newRetries returns retries without delayed models.
func newRetries() retries {
	return retries{}
}

// next returns the earliest time after now at which an order for a delayed model may
// be issued, or 0.
func (r retries) next(now buckthorndyke.Millis) buckthorndyke.Millis {
	var next buckthorndyke.Millis
	for _, at := range r.at.All() {
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	return next
}

// withFailure returns retries that delay model for twice its last wait.
func (r retries) withFailure(model buckthorndyke.ModelID, now buckthorndyke.Millis) retries {
	wait, _ := r.waits.Get(model)
	wait = min(max(2*wait, retryBase), retryLimit)
	r.waits = r.waits.With(model, wait)
	r.at = r.at.With(model, now+wait)
	return r
}

// without returns retries that do not delay model.
func (r retries) without(model buckthorndyke.ModelID) retries {
	r.at = r.at.Without(model)
	r.waits = r.waits.Without(model)
	return r
}
