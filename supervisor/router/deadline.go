package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// deadline cancels a request whose next token is late. Only the task that serves the
// request may use it.
type deadline struct {
	cancel  context.CancelCauseFunc
	clock   buckthorndyke.Clock
	disarm  context.CancelFunc
	due     buckthorndyke.Millis
	timeout buckthorndyke.Millis
}

// newDeadline returns a deadline whose timer runs from now.
func newDeadline(clock buckthorndyke.Clock, timeout buckthorndyke.Millis, cancel context.CancelCauseFunc) *deadline {
	d := &deadline{cancel: cancel, clock: clock, timeout: timeout}
	d.arm()
	return d
}

// arm starts the timer for the next token unless it is already running.
func (d *deadline) arm() {
	if d.disarm != nil {
		return
	}
	d.due = d.clock.Now() + d.timeout
	late := d.clock.After(d.timeout)
	armed, disarm := context.WithCancel(context.Background())
	d.disarm = disarm
	go func() {
		select {
		case <-late:
			d.cancel(errDeadline)
		case <-armed.Done():
		}
	}()
}

// remaining returns the time left until the next token is due.
func (d *deadline) remaining() buckthorndyke.Millis {
	return max(d.due-d.clock.Now(), 0)
}

// stop stops the timer, because a token has arrived or the request has ended.
func (d *deadline) stop() {
	if d.disarm != nil {
		d.disarm()
		d.disarm = nil
	}
}
