// Package tester runs several entry VMs on in-memory fakes of the platform in one
// testing/synctest bubble, and injects faults into the calls between them. Only
// tests import it.
package tester

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// Process simulates the operating-system process of one entry VM. All calls from
// and to the VM pass it. While the process is paused, calls and their results wait;
// once it is killed they fail.
type Process struct {
	awaitRequests *mailer.Mailbox[mailer.Reply[struct{}]]
	clock         buckthorndyke.Clock
	ctx           context.Context
	kill          context.CancelFunc
	observer      Observer
	pause         *mailer.Mailbox[bool]
	vm            buckthorndyke.VMID
}

// newProcess returns a process on vm that runs until ctx ends or it is killed.
func newProcess(ctx context.Context, clock buckthorndyke.Clock, vm buckthorndyke.VMID, observer Observer) *Process {
	processCtx, kill := context.WithCancel(ctx)
	p := &Process{
		awaitRequests: mailer.NewMailbox[mailer.Reply[struct{}]](),
		clock:         clock,
		ctx:           processCtx,
		kill:          kill,
		observer:      observer,
		pause:         mailer.NewMailbox[bool](),
		vm:            vm,
	}
	go p.serve()
	return p
}

// Kill ends the process: its calls in progress and all later calls fail.
func (p *Process) Kill() { p.kill() }

// Killed reports whether the process has been killed.
func (p *Process) Killed() bool { return p.ctx.Err() != nil }

// Pause makes calls from and to the process wait until Resume. The process itself
// cannot detect it.
func (p *Process) Pause() { _ = p.pause.Send(p.ctx, true) }

// Resume continues a paused process.
func (p *Process) Resume() { _ = p.pause.Send(p.ctx, false) }

// awaitRunning waits while the process is paused. It returns an error if the process
// is killed or ctx ends first.
func (p *Process) awaitRunning(ctx context.Context) error {
	bound, cancel := p.bind(ctx)
	defer cancel()
	_, err := mailer.Ask(bound, p.awaitRequests, func(reply mailer.Reply[struct{}]) mailer.Reply[struct{}] { return reply })
	return err
}

// bind returns a context that ends with ctx or once the process is killed.
func (p *Process) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(p.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}

// serve replies to awaitRunning while the process is not paused.
func (p *Process) serve() {
	paused := false
	for {
		requests := p.awaitRequests.Receive()
		if paused {
			requests = nil
		}
		select {
		case <-p.ctx.Done():
			return
		case paused = <-p.pause.Receive():
		case reply := <-requests:
			reply.Answer(struct{}{})
		}
	}
}

// observe reports an event of a call by this process to the observer and returns the
// fault to inject into the call.
func (p *Process) observe(ctx context.Context, event CallEvent) Fault {
	if p.observer == nil {
		return Fault{}
	}
	event.At, event.From = p.clock.Now(), p.vm
	return p.observer(ctx, event)
}

// callThrough makes the call that event describes through processes, the caller's
// first. If one of them is killed or ctx ends, the error has the verdict NotRun before
// the call is sent and MayHaveRun after it has returned.
func callThrough[R any](
	ctx context.Context, processes []*Process, event CallEvent, call func(ctx context.Context) (R, error),
) (R, error) {
	var none R
	var cancel context.CancelFunc
	fault := processes[0].observe(ctx, event)
	for _, p := range processes {
		if err := p.awaitRunning(ctx); err != nil {
			return none, interruptedError(buckthorndyke.NotRun, err)
		}
		ctx, cancel = p.bind(ctx)
		defer cancel()
	}
	event.Phase = PhaseSent
	fault = fault.with(processes[0].observe(ctx, event))
	if err := fault.before(ctx, processes[0].clock); err != nil {
		return none, err
	}
	if fault.Duplicate {
		_, _ = call(ctx)
	}
	r, err := call(ctx)
	event.Reply, event.Err, event.Phase = r, err, PhaseReplied
	replyFault := fault.with(processes[0].observe(ctx, event))
	if lost := replyFault.after(ctx); lost != nil {
		return none, lost
	}
	for _, p := range processes {
		if runErr := p.awaitRunning(ctx); runErr != nil {
			return none, interruptedError(buckthorndyke.MayHaveRun, runErr)
		}
	}
	return r, err
}

// interruptedError returns the error of a call that was interrupted by err.
func interruptedError(verdict buckthorndyke.Verdict, err error) error {
	return buckthorndyke.NewRefusal(buckthorndyke.CodeRunnerUnavailable, verdict, err.Error())
}
