package buckthorndyke

// ClaimRecord is a record of a claims stream: a claim, or the outcome that
// settles it.
type ClaimRecord struct {
	Claim ClaimRequest
	// Outcome is set on the record that settles the claim with the same id.
	Outcome *ClaimOutcome
}
