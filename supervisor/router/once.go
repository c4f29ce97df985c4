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

// claimed makes a call that must not run twice. It sends the call only under a
// claim, and records how it ended before the caller gets the answer, unless that
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
	// An outcome that is not recorded leaves later calls with the key in doubt,
	// which they are told. This call's answer is none the less true.
	_ = c.claims.Settle(context.WithoutCancel(ctx), outcome)
	return response, err
}

// claimRefusal returns the refusal of a call whose claim was not answered.
// Without a grant nothing is sent, so that the call has not run unless the keeper
// says that an earlier one may have.
func claimRefusal(err error) *buckthorndyke.RefusalError {
	var refusal *buckthorndyke.RefusalError
	if errors.As(err, &refusal) {
		return refusal
	}
	return refuse(buckthorndyke.CodeClaimUnavailable, err.Error())
}

// replay returns the answer to a call whose key another call holds.
func replay(reply buckthorndyke.ClaimReply) (buckthorndyke.ServiceResponse, error) {
	switch {
	case reply.Mismatch:
		// This call was not sent. What became of the first is not its answer.
		return buckthorndyke.ServiceResponse{}, refuse(buckthorndyke.CodeKeyReused,
			"the idempotency key was used for another call")
	case reply.Verdict == buckthorndyke.NotRun:
		return buckthorndyke.ServiceResponse{}, refuse(buckthorndyke.CodeClaimUnavailable,
			"the idempotency key has failed too often; use a new one")
	case reply.Verdict == buckthorndyke.Ran && reply.Response != nil:
		return *reply.Response, nil
	default:
		return buckthorndyke.ServiceResponse{}, buckthorndyke.NewRefusal(buckthorndyke.CodeDuplicate, reply.Verdict,
			"a call with this idempotency key was made before and its answer is not known")
	}
}
