package router

import (
	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
)

// errDeadline ends a request whose next token is late.
var errDeadline = errors.New("the time to the next token is over")

// Kinds of setbacks.
const (
	// setbackBroken means that the runner broke off the job.
	failureAborted failureKind = iota
	// setbackFinal means that no other attempt can succeed.
	failureFinal
	// setbackMoved means that the runner's owner does not answer or is another.
	failureOwnerLost
	// setbackPreempted means that other work took the runner's place.
	failurePreempted
	// setbackRefused means that the runner's steward cannot serve the request.
	failureRefused
	// setbackUnstarted means that the runner did not start the job.
	failureUnstarted
)

// setbackKind says how an attempt failed.
type failureKind uint8

// setback is a failed attempt.
type failure struct {
	kind    failureKind
	refusal *buckthorndyke.RefusalError
	runner  buckthorndyke.RunnerID
}

// setbackOfTicket returns the setback that an error of a runner's steward is.
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

// troubles reports whether s is a sign that the runner or its owner fails, so
// that other requests should rather ask others for a while.
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
