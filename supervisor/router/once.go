package router

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
)

// claim returns a new claim for the call.
func (c *call) claim() buckthorndyke.ClaimRequest {
	call := c.request.Call
	return buckthorndyke.ClaimRequest{
		Fingerprint: fingerprint(call.Method, call.Path, call.Query, string(call.Body)),
		ID:          buckthorndyke.RequestID(uuid.NewString()),
		Key: buckthorndyke.ClaimKey{
			Caller:  c.request.Caller.ID,
			Key:     c.request.Key,
			Service: call.Service,
		},
		VM: c.self.VM,
	}
}

// sendOnce makes a call that must not run twice. It sends the call only if the claim
// is granted, and records the outcome before it returns the response, unless that
// takes too long.
func (c *call) sendOnce(ctx context.Context) (buckthorndyke.ServiceResponse, error) {
	claim := c.claim()
	reply, err := c.claims.Claim(ctx, claim)
	if err != nil {
		return buckthorndyke.ServiceResponse{}, claimRefusal(err)
	}
	if !reply.Granted {
		return replay(reply)
	}
	response, err := c.send(ctx)
	outcome := buckthorndyke.ClaimOutcome{ID: claim.ID, Key: claim.Key, Verdict: buckthorndyke.VerdictOf(err)}
	if err == nil {
		outcome.Response = &response
	}
	// If the outcome is not recorded, later calls with the same key are told that it is
	// unknown. The response of this call is valid all the same.
	_ = c.claims.Settle(context.WithoutCancel(ctx), outcome)
	return response, err
}

// claimRefusal returns the refusal of a call whose claim failed. Without a grant
// nothing is sent, so the verdict is NotRun unless the claim store's own refusal says
// that an earlier call may have run.
func claimRefusal(err error) *buckthorndyke.RefusalError {
	var refusal *buckthorndyke.RefusalError
	if errors.As(err, &refusal) {
		return refusal
	}
	return refuse(buckthorndyke.CodeClaimUnavailable, err.Error())
}

// replay returns the result of a call whose idempotency key was claimed before.
func replay(reply buckthorndyke.ClaimReply) (buckthorndyke.ServiceResponse, error) {
	switch {
	case reply.Mismatch:
		// The recorded response belongs to a different call.
		return buckthorndyke.ServiceResponse{}, refuse(buckthorndyke.CodeKeyReused,
			"the idempotency key was used for a different call")
	case reply.Verdict == buckthorndyke.NotRun:
		return buckthorndyke.ServiceResponse{}, refuse(buckthorndyke.CodeClaimUnavailable,
			"too many calls with this idempotency key have failed; use a new key")
	case reply.Verdict == buckthorndyke.Ran && reply.Response != nil:
		return *reply.Response, nil
	default:
		return buckthorndyke.ServiceResponse{}, buckthorndyke.NewRefusal(buckthorndyke.CodeDuplicate, reply.Verdict,
			"a call with this idempotency key was made before and its response is not known")
	}
}
