package router

import (
	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
)

// errDeadline is the cause with which the context of a request is canceled when the
// next token is late.
var errDeadline = errors.New("the next token did not arrive before the deadline")

// Kinds of failures.
const (
	// failureAborted means that the job started but did not run to its end.
	failureAborted failureKind = iota
	// failureFinal means that no other attempt can succeed.
	failureFinal
	// failureOwnerLost means that the runner's owner is unreachable or was replaced.
	failureOwnerLost
	// failurePreempted means that the ticket was revoked in favor of another request.
	failurePreempted
	// failureRefused means that the runner's steward cannot serve the request.
	failureRefused
	// failureUnstarted means that the runner did not start the job.
	failureUnstarted
)

// failureKind says how an attempt failed.
type failureKind uint8

// failure describes why an attempt on a runner failed.
type failure struct {
	kind    failureKind
	refusal *buckthorndyke.RefusalError
	runner  buckthorndyke.RunnerID
}

// newTicketFailure returns the failure that corresponds to an error from the runner's
// steward.
func newTicketFailure(runner buckthorndyke.RunnerID, err error) *failure {
	refusal := buckthorndyke.RefusalOf(err)
	f := &failure{kind: failureOwnerLost, refusal: refusal, runner: runner}
	switch refusal.Code() {
	case buckthorndyke.CodeDeadline, buckthorndyke.CodeOverloaded, buckthorndyke.CodeTooLarge:
		f.kind = failureRefused
	case buckthorndyke.CodeBadRequest, buckthorndyke.CodeCrashSuspect, buckthorndyke.CodeForbidden,
		buckthorndyke.CodeModelUnknown, buckthorndyke.CodeQuarantined, buckthorndyke.CodeUnauthenticated:
		f.kind = failureFinal
	default:
	}
	return f
}

// isRunnerFault reports whether f suggests a fault of the runner or its owner, so that
// other requests should prefer other runners for a while.
func (f *failure) isRunnerFault() bool {
	switch f.kind {
	case failureAborted, failureUnstarted:
		return true
	case failureOwnerLost:
		return f.refusal.Code() != buckthorndyke.CodeNotOwner
	default:
		return false
	}
}
