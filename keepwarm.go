package buckthorndyke

// KeepWarmPolicy decides how long a model stays loaded without work. It is
// immutable: With methods return the next value.
type KeepWarmPolicy interface {
	// KeepFor returns how long a model stays loaded after its last request.
	// loadTime is what it takes to load it again.
	KeepFor(model ModelID, loadTime Millis) Millis
	// Worth returns the worth of keeping an idle model loaded from now on.
	// Of several victims the one with the least worth is evicted.
	Worth(model ModelID, loadTime, now Millis) float64
	// WithArrival returns a policy that has seen a request of model.
	WithArrival(model ModelID, now Millis) KeepWarmPolicy
}
