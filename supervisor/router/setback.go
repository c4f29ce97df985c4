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
	setbackBroken setbackKind = iota
	// setbackFinal means that no other attempt can succeed.
	setbackFinal
	// setbackMoved means that the runner's owner does not answer or is another.
	setbackMoved
	// setbackPreempted means that other work took the runner's place.
	setbackPreempted
	// setbackRefused means that the runner's steward cannot serve the request.
	setbackRefused
	// setbackUnstarted means that the runner did not start the job.
	setbackUnstarted
)

// setbackKind says how an attempt failed.
type setbackKind uint8

// setback is a failed attempt.
type setback struct {
	kind    setbackKind
	refusal *buckthorndyke.RefusalError
	runner  buckthorndyke.RunnerID
}

// setbackOfTicket returns the setback that an error of a runner's steward is.
func setbackOfTicket(runner buckthorndyke.RunnerID, err error) *setback {
	refusal := buckthorndyke.RefusalOf(err)
	s := &setback{kind: setbackMoved, refusal: refusal, runner: runner}
	switch refusal.Code() {
	case buckthorndyke.CodeDeadline, buckthorndyke.CodeOverloaded, buckthorndyke.CodeTooLarge:
		s.kind = setbackRefused
	case buckthorndyke.CodeBadRequest, buckthorndyke.CodeCrashSuspect, buckthorndyke.CodeForbidden,
		buckthorndyke.CodeModelUnknown, buckthorndyke.CodeQuarantined, buckthorndyke.CodeUnauthenticated:
		s.kind = setbackFinal
	default:
	}
	return s
}

// troubles reports whether s is a sign that the runner or its owner fails, so
// that other requests should rather ask others for a while.
func (s *setback) troubles() bool {
	switch s.kind {
	case setbackBroken, setbackUnstarted:
		return true
	case setbackMoved:
		return s.refusal.Code() != buckthorndyke.CodeNotOwner
	default:
		return false
	}
}
