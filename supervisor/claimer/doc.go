// Package claimer keeps the claims of calls that must not run twice. Claims go to
// one of several streams of the log by their key. One task for each stream that
// this VM keeps tails it and answers by what it has folded; the log's order alone
// decides, so that two keepers of one stream at once are safe.
//
// A claim that ends in an error is reported as not run. That is true whatever
// becomes of its record: only the asker of a claim may send the call, and it
// sends nothing without a grant. The record may still appear in the log later and
// hold the key, in which case later calls with the key would be told that the
// first may have run. To prevent that the asker abandons the claim: it appends
// the outcome NotRun in the background, which frees the key for the next claim.
package claimer
