package buckthorndyke

// KeepWarmPolicy decides how long an idle model stays loaded. It is immutable: With
// methods return a new value.
type KeepWarmPolicy interface {
	// KeepFor returns how long a model stays loaded after its last request.
	// loadTime is the time that loading it again takes.
	KeepFor(model ModelID, loadTime Millis) Millis
	// Worth returns the value of keeping an idle model loaded from now on. Of
	// several candidates, the one with the lowest worth is evicted.
	Worth(model ModelID, loadTime, now Millis) float64
	// WithArrival returns a policy that has recorded a request for model.
	WithArrival(model ModelID, now Millis) KeepWarmPolicy
}
