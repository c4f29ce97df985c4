// Package chooser decides in which order a request tries the runners that may serve
// it, and whether a failed attempt may be repeated. It does no I/O and does not read
// the clock.
//
// Hedging (sending a second copy of a slow request) is not implemented: a copy takes
// a second slot in a runner's batch, which adds to the very load that makes requests
// slow, and the steward (the task that admits requests to a runner) already refuses
// at once what cannot be served in time.
package chooser
