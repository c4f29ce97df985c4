// Package adjudicator decides who may make a call that must not run twice. It
// folds the records of one claims stream; every reader of the stream reaches the
// same decisions, since they depend on nothing but the records and the log's own
// times of them. It imports no socket, codec or clock.
package adjudicator
