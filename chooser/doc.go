// Package chooser decides which runner or backend server a request asks first,
// and whether a failed attempt may be repeated. It imports no socket, codec or
// clock.
//
// Hedging (sending a second copy of a slow request) is not built: a copy takes a
// second place in a runner's batch, so it multiplies exactly the load that makes
// requests slow, and the steward already refuses at once what cannot be served
// in time.
package chooser
