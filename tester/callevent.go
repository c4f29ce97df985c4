package tester

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// Phases of a call.
const (
	// PhaseSending means that the process is about to send the call.
	PhaseSending Phase = iota
	// PhaseSent means that the call has left the process.
	PhaseSent
	// PhaseReplied means that the call has taken effect and the process has not yet
	// received the reply.
	PhaseReplied
)

// Kinds of calls from and to a process. CallReceive is a request that a client sends
// to the process.
const (
	CallAcquireLoad CallKind = "acquire-load"
	CallAppend      CallKind = "append"
	CallCancel      CallKind = "cancel"
	CallClaim       CallKind = "claim"
	CallGenerate    CallKind = "generate"
	CallList        CallKind = "list"
	CallOrder       CallKind = "order"
	CallProbe       CallKind = "probe"
	CallPromise     CallKind = "promise"
	CallRead        CallKind = "read"
	CallReceive     CallKind = "receive"
	CallService     CallKind = "service"
	CallSettle      CallKind = "settle"
	CallSnapshot    CallKind = "snapshot"
	CallStatus      CallKind = "status"
	CallTicket      CallKind = "ticket"
	CallTicketNext  CallKind = "ticket-next"
	CallToken       CallKind = "token"
)

// CallKind is the kind of a call from or to a process.
type CallKind string

// Phase is the progress of a call.
type Phase uint8

// CallEvent is a call that has reached a phase.
type CallEvent struct {
	// Address is the called address, if the call has one.
	Address string
	At      buckthorndyke.Millis
	Call    CallKind
	Err     error
	From    buckthorndyke.VMID
	Phase   Phase
	// Reply is the result of a call in PhaseReplied, unless Err is set.
	Reply any
	// Request is the argument of the call, if it has one.
	Request any
	// Stream is the log stream of an append or read.
	Stream buckthorndyke.Stream
}

// Observer is called for each call event, in the goroutine of the call. It returns
// the fault to inject into the rest of the call. It must be safe for concurrent use.
type Observer func(ctx context.Context, event CallEvent) Fault

// Wrappers replace or wrap parts of a fleet, so that a test can run a fleet with a
// deliberate fault in the system under test. A nil function leaves its part as it is.
type Wrappers struct {
	Engine  func(runner buckthorndyke.RunnerID, e buckthorndyke.Engine) buckthorndyke.Engine
	Gateway func(g buckthorndyke.Gateway) buckthorndyke.Gateway
	Log     func(vm buckthorndyke.VMID, l buckthorndyke.Log) buckthorndyke.Log
	Service func(s buckthorndyke.Service) buckthorndyke.Service
	VMList  func(l buckthorndyke.VMList) buckthorndyke.VMList
}
