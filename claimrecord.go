package buckthorndyke

// ClaimRecord is a record of a claims stream: either a claim or the outcome of a
// claimed call.
type ClaimRecord struct {
	Claim ClaimRequest
	// Outcome is set if the record holds the outcome of the claim with the same ID.
	Outcome *ClaimOutcome
}
