// Package tester runs several entry VMs over in-memory stand-ins in one
// testing/synctest bubble, and injects faults between them. Only tests import it.
package tester

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// Link is the boundary of one simulated process. All calls from and to the
// process pass it. While the process is paused calls and answers wait; once it
// is killed they fail.
type Process struct {
	clock        buckthorndyke.Clock
	ctx          context.Context
	kill         context.CancelFunc
	observer     Observer
	passRequests *mailer.Mailbox[mailer.Reply[struct{}]]
	pause        *mailer.Mailbox[bool]
	vm           buckthorndyke.VMID
}

// newLink returns the link of a process on vm that runs until ctx ends or the
// process is killed.
func newProcess(ctx context.Context, clock buckthorndyke.Clock, vm buckthorndyke.VMID, observer Observer) *Process {
	life, kill := context.WithCancel(ctx)
	l := &Process{
		passRequests: mailer.NewMailbox[mailer.Reply[struct{}]](),
		clock:        clock,
		kill:         kill,
		ctx:          life,
		observer:     observer,
		pause:        mailer.NewMailbox[bool](),
		vm:           vm,
	}
	go l.serve()
	return l
}

// Kill ends the process: its calls in progress fail and no more pass.
func (l *Process) Kill() { l.kill() }

// Killed reports whether the process has been killed.
func (l *Process) Killed() bool { return l.ctx.Err() != nil }

// Pause stops the process without its notice.
func (l *Process) Pause() { _ = l.pause.Send(l.ctx, true) }

// Resume lets a paused process go on.
func (l *Process) Resume() { _ = l.pause.Send(l.ctx, false) }

// pass waits until the process runs. It fails if the process is killed or ctx
// ends first.
func (l *Process) awaitRunning(ctx context.Context) error {
	asking, cancel := l.bind(ctx)
	defer cancel()
	_, err := mailer.Ask(asking, l.passRequests, func(reply mailer.Reply[struct{}]) mailer.Reply[struct{}] { return reply })
	return err
}

// bind returns a context that also ends with the process.
func (l *Process) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(l.ctx, cancel)
	return ctx, func() { stop(); cancel() }
}

// serve answers asks while the process is not paused.
func (l *Process) serve() {
	paused := false
	for {
		asks := l.passRequests.Receive()
		if paused {
			asks = nil
		}
		select {
		case <-l.ctx.Done():
			return
		case paused = <-l.pause.Receive():
		case reply := <-asks:
			reply.Answer(struct{}{})
		}
	}
}

// observe shows a point of a call of this process and returns the fault that
// happens to it.
func (l *Process) observe(ctx context.Context, p CallEvent) Fault {
	if l.observer == nil {
		return Fault{}
	}
	p.At, p.From = l.clock.Now(), l.vm
	return l.observer(ctx, p)
}

// through makes the call at p, which passes the given links, out and back. An
// error of a link carries the verdict NotRun on the way out and MayHaveRun on the
// way back.
func callThrough[R any](
	ctx context.Context, links []*Process, p CallEvent, call func(ctx context.Context) (R, error),
) (R, error) {
	var none R
	var cancel context.CancelFunc
	out := links[0].observe(ctx, p)
	for _, l := range links {
		if err := l.awaitRunning(ctx); err != nil {
			return none, interruptedError(buckthorndyke.NotRun, err)
		}
		ctx, cancel = l.bind(ctx)
		defer cancel()
	}
	p.Phase = PhaseSent
	out = out.with(links[0].observe(ctx, p))
	if err := out.before(ctx, links[0].clock); err != nil {
		return none, err
	}
	if out.Duplicate {
		_, _ = call(ctx)
	}
	r, err := call(ctx)
	p.Reply, p.Err, p.Phase = r, err, PhaseReplied
	back := out.with(links[0].observe(ctx, p))
	if lost := back.after(ctx); lost != nil {
		return none, lost
	}
	for _, l := range links {
		if passErr := l.awaitRunning(ctx); passErr != nil {
			return none, interruptedError(buckthorndyke.MayHaveRun, passErr)
		}
	}
	return r, err
}

// cut returns the error of a call that a link has broken.
func interruptedError(verdict buckthorndyke.Verdict, err error) error {
	return buckthorndyke.NewRefusal(buckthorndyke.CodeRunnerUnavailable, verdict, err.Error())
}
