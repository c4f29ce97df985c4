// Package claimer grants claims on calls that must run at most once. The key of a claim
// determines which of several claims streams of the log it is recorded in. Each stream
// has a coordinator, the member that ranks first for the stream by rendezvous hashing.
// The coordinator runs one task for each of its streams, which tails the stream and
// replies to claims from the records. Only the order of the log decides, so it is safe
// if a stream has two coordinators at a time.
//
// A claim that ends in an error is reported as not run. That is correct even if its
// record is appended: only the claimant may make the call, and it does not without a
// grant. However, the record may appear in the log later and hold the key, so that
// later calls with the key would be told that the first call may have run. To prevent
// that, the claimant abandons the claim: it appends the outcome NotRun in the
// background, which frees the key for the next claim.
package claimer
