// Package authenticator decides which caller sends a request.
package authenticator

import (
	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// MaxAge is the age up to which a confirmation of the configuration's version shows
	// that a key is unknown. Keys that were added have to be accepted within 3 s, and a
	// refusal of an unknown key is final.
	MaxAge = buckthorndyke.Second
	// MaxWait bounds how long a request with an unknown key waits for a confirmation.
	MaxWait = 700 * buckthorndyke.Millisecond
)

// Outcomes of a check.
const (
	// Unchecked means that the configuration has no callers.
	Unchecked Outcome = "unchecked"
	// Known means that the client is a caller.
	Known Outcome = "known"
	// Nameless means that the client is not known and need not be.
	Nameless Outcome = "nameless"
	// Unknown means that the client is not a caller in the newest version of the
	// configuration.
	Unknown Outcome = "unknown"
	// Unconfirmed means that the client is not a caller in this VM's version of the
	// configuration, which may not be the newest one.
	Unconfirmed Outcome = "unconfirmed"
)

// Outcome says what is known about who sends a request.
type Outcome string

// Identity is the result of a check.
type Identity struct {
	// Caller is the zero value unless Outcome is Known.
	Caller  buckthorndyke.Caller
	Outcome Outcome
}

// Knowledge is what a VM knows about callers.
type Knowledge struct {
	Callers buckthorndyke.Callers
	// ConfirmedAt is the last instant at which the configuration that contains Callers was
	// known to be the newest, or 0.
	ConfirmedAt buckthorndyke.Millis
}

// Identify returns who sends a request with credential. Requests to a public route need no
// key.
func (k Knowledge) Identify(credential buckthorndyke.Credential, public bool, now buckthorndyke.Millis) Identity {
	if !k.Callers.Required() {
		return Identity{Outcome: Unchecked}
	}
	caller, ok := HolderOf(credential, k.Callers.ByKey)
	switch {
	case ok:
		return Identity{Caller: caller, Outcome: Known}
	case public:
		return Identity{Outcome: Nameless}
	case k.ConfirmedAt > 0 && k.ConfirmedAt >= now-MaxAge:
		return Identity{Outcome: Unknown}
	default:
		return Identity{Outcome: Unconfirmed}
	}
}

// HolderOf returns the holder of the key in credential, which byKey returns for its digest,
// or false if there is no key or no holder.
func HolderOf[C any](credential buckthorndyke.Credential, byKey func(d buckthorndyke.KeyDigest) (C, bool)) (C, bool) {
	digest, ok := credential.Digest()
	if !ok {
		var none C
		return none, false
	}
	return byKey(digest)
}
