package tester

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// Phases of a call.
const (
	// PhaseAsked means that the process is about to send the call.
	PhaseSending Phase = iota
	// PhaseSent means that the call has left the process.
	PhaseSent
	// PhaseAnswered means that the call has taken effect, but that the process
	// has not received the answer.
	PhaseReplied
)

// Calls that pass the boundary of a process.
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

// CallKind names a call that passes the boundary of a process.
type CallKind string

// Phase says how far a call has come.
type Phase uint8

// Point is one phase of one call.
type CallEvent struct {
	// Address is the address that is called, if the call has one.
	Address string
	At      buckthorndyke.Millis
	Call    CallKind
	Err     error
	From    buckthorndyke.VMID
	Phase   Phase
	// Answer is the result once the call was answered without an error.
	Reply any
	// Request is what is asked, if the call has an argument.
	Request any
	// Stream is the stream of an append or read.
	Stream buckthorndyke.Stream
}

// Observer is shown each point, in the goroutine of the call, and returns the
// fault that happens to the call from there on. It must be safe for concurrent
// use.
type Observer func(ctx context.Context, p CallEvent) Fault

// Wiring replaces parts of a fleet, for variants that are broken on purpose. A
// nil function replaces nothing.
type Wrappers struct {
	Engine  func(runner buckthorndyke.RunnerID, e buckthorndyke.Engine) buckthorndyke.Engine
	Gateway func(g buckthorndyke.Gateway) buckthorndyke.Gateway
	Log     func(vm buckthorndyke.VMID, l buckthorndyke.Log) buckthorndyke.Log
	Service func(s buckthorndyke.Service) buckthorndyke.Service
	VMList  func(l buckthorndyke.VMList) buckthorndyke.VMList
}
