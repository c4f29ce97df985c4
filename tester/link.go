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
type Link struct {
	asks  *mailer.Mailbox[mailer.Reply[struct{}]]
	kill  context.CancelFunc
	life  context.Context
	pause *mailer.Mailbox[bool]
}

// newLink returns the link of a process that runs until ctx ends or the process
// is killed.
func newLink(ctx context.Context) *Link {
	life, kill := context.WithCancel(ctx)
	l := &Link{
		asks:  mailer.NewMailbox[mailer.Reply[struct{}]](),
		kill:  kill,
		life:  life,
		pause: mailer.NewMailbox[bool](),
	}
	go l.serve()
	return l
}

// Kill ends the process: its calls in progress fail and no more pass.
func (l *Link) Kill() { l.kill() }

// Pause stops the process without its notice.
func (l *Link) Pause() { _ = l.pause.Send(l.life, true) }

// Resume lets a paused process go on.
func (l *Link) Resume() { _ = l.pause.Send(l.life, false) }

// pass waits until the process runs. It fails if the process is killed or ctx
// ends first.
func (l *Link) pass(ctx context.Context) error {
	asking, cancel := l.bind(ctx)
	defer cancel()
	_, err := mailer.Ask(asking, l.asks, func(reply mailer.Reply[struct{}]) mailer.Reply[struct{}] { return reply })
	return err
}

// bind returns a context that also ends with the process.
func (l *Link) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(l.life, cancel)
	return ctx, func() { stop(); cancel() }
}

// serve answers asks while the process is not paused.
func (l *Link) serve() {
	paused := false
	for {
		asks := l.asks.Receive()
		if paused {
			asks = nil
		}
		select {
		case <-l.life.Done():
			return
		case paused = <-l.pause.Receive():
		case reply := <-asks:
			reply.Answer(struct{}{})
		}
	}
}

// through makes a call that passes the given links, out and back. An error of a
// link carries the verdict NotRun on the way out and MayHaveRun on the way back.
func through[R any](
	ctx context.Context, links []*Link, call func(ctx context.Context) (R, error),
) (R, error) {
	var none R
	var cancel context.CancelFunc
	for _, l := range links {
		if err := l.pass(ctx); err != nil {
			return none, cut(buckthorndyke.NotRun, err)
		}
		ctx, cancel = l.bind(ctx)
		defer cancel()
	}
	r, err := call(ctx)
	for _, l := range links {
		if passErr := l.pass(ctx); passErr != nil {
			return none, cut(buckthorndyke.MayHaveRun, passErr)
		}
	}
	return r, err
}

// cut returns the error of a call that a link has broken.
func cut(verdict buckthorndyke.Verdict, err error) error {
	return buckthorndyke.NewRefusal(buckthorndyke.CodeRunnerUnavailable, verdict, err.Error())
}
