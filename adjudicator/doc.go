// Package adjudicator decides which claimant may make a call that must run at most
// once. It applies the records of one claims stream. All readers of the stream reach
// the same decisions, since these depend only on the records and on the timestamps
// that the log gives them. The package uses no sockets, no codecs and no clock.
package adjudicator
