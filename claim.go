package buckthorndyke

import "context"

// ClaimKey identifies a call that must run at most once: the caller's idempotency
// key for a service.
type ClaimKey struct {
	Caller  CallerID
	Key     string
	Service ServiceID
}

// ClaimRequest asks for the exclusive right to make a call that must run at most
// once.
type ClaimRequest struct {
	// Fingerprint is a digest of the call. It detects that a key is reused for a
	// different call.
	Fingerprint Fingerprint
	// ID identifies the claim, so that it can be sent again if the reply is lost.
	ID  RequestID
	Key ClaimKey
	VM  VMID
}

// ClaimReply is the reply to a ClaimRequest.
type ClaimReply struct {
	// Granted allows the claimant to make the call once.
	Granted bool
	// Mismatch is set if the key was first used for a different call.
	Mismatch bool
	// Response is the recorded response of the first call if Verdict is Ran.
	Response *ServiceResponse
	// Verdict says whether the first call has run. It is set if Granted is false.
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

// ClaimStore stores claims in the log.
type ClaimStore interface {
	// Claim asks for the exclusive right to make a call.
	Claim(ctx context.Context, r ClaimRequest) (ClaimReply, error)
	// Settle records the outcome of a call whose claim was granted.
	Settle(ctx context.Context, o ClaimOutcome) error
}
