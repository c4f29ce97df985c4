package buckthorndyke

import "context"

// ClaimKey identifies a call that must not run twice.
type ClaimKey struct {
	Caller  CallerID
	Key     string
	Service ServiceID
}

// ClaimRequest asks for the sole right to make a call that must not run twice.
type ClaimRequest struct {
	// Fingerprint is the digest of the call, to detect a key used for another.
	Fingerprint Fingerprint
	// ID identifies the attempt, so that a lost answer can be asked for again.
	ID  RequestID
	Key ClaimKey
	VM  VMID
}

// ClaimReply is the answer to a claim.
type ClaimReply struct {
	// Granted allows the asker to make the call, once.
	Granted bool
	// Mismatch is set if the key was first used for another call.
	Mismatch bool
	// Response is the recorded answer if Verdict is Ran.
	Response *ServiceResponse
	// Verdict is what is known of the first call if Granted is false.
	Verdict Verdict
}

// ClaimOutcome records how a claimed call ended.
type ClaimOutcome struct {
	ID  RequestID
	Key ClaimKey
	// Response is set if Verdict is Ran.
	Response *ServiceResponse
	Verdict  Verdict
}

// ClaimStore keeps the claims of some keys in the log.
type ClaimStore interface {
	// Claim asks for the right to make a call.
	Claim(ctx context.Context, r ClaimRequest) (ClaimReply, error)
	// Settle records the outcome of a claimed call.
	Settle(ctx context.Context, o ClaimOutcome) error
}
