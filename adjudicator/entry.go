package adjudicator

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// abandonedLimit bounds the abandoned claims that are recorded for a key. Once it is
// reached, the key is not granted again.
const abandonedLimit = 16

// entry is the state of one key. It is immutable.
type entry struct {
	// abandoned lists claims whose claimants will never make the call.
	abandoned []buckthorndyke.RequestID
	// fingerprint is the call digest of the claim that holds the key.
	fingerprint buckthorndyke.Fingerprint
	// holder is the ID of the claim that holds the key, or empty if the key is free.
	holder   buckthorndyke.RequestID
	response *buckthorndyke.ServiceResponse
	settled  bool
	verdict  buckthorndyke.Verdict
}

// reply returns the reply to r, whose record has been applied.
func (e entry) reply(r buckthorndyke.ClaimRequest) buckthorndyke.ClaimReply {
	switch {
	case e.holder == "":
		return buckthorndyke.ClaimReply{Verdict: buckthorndyke.NotRun}
	case e.holder == r.ID && !e.settled:
		return buckthorndyke.ClaimReply{Granted: true}
	default:
		return buckthorndyke.ClaimReply{
			Mismatch: e.fingerprint != r.Fingerprint,
			Response: e.response,
			Verdict:  e.verdict,
		}
	}
}

// withAbandoned returns a copy in which the claim id can no longer hold the key.
func (e entry) withAbandoned(id buckthorndyke.RequestID) entry {
	if e.holder == id {
		e.holder = ""
		e.fingerprint = ""
	}
	if !slices.Contains(e.abandoned, id) && len(e.abandoned) < abandonedLimit {
		e.abandoned = append(slices.Clip(e.abandoned), id)
	}
	return e
}

// withClaim returns a copy in which r holds the key if the key is free and r was not
// abandoned.
func (e entry) withClaim(r buckthorndyke.ClaimRequest) entry {
	if e.holder != "" || len(e.abandoned) >= abandonedLimit || slices.Contains(e.abandoned, r.ID) {
		return e
	}
	e.holder = r.ID
	e.fingerprint = r.Fingerprint
	return e
}

// withOutcome returns a copy that is settled with o, if o is an outcome of the claim
// that holds the key. Only the first outcome counts. The outcome NotRun means that the
// claimant will never make the call; it frees the key for another claim.
func (e entry) withOutcome(o buckthorndyke.ClaimOutcome) entry {
	switch {
	case e.settled:
		return e
	case o.Verdict == buckthorndyke.NotRun:
		return e.withAbandoned(o.ID)
	case e.holder != o.ID:
		return e
	}
	e.response = o.Response
	e.settled = true
	e.verdict = o.Verdict
	return e
}
