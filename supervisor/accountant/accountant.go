// Package accountant keeps the account of the memory that the requests and responses of an
// entry VM take together.
package accountant

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/allotter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// allowance is the number of bytes that each reservation has without a message to the
	// task. They are not counted.
	allowance = 16 << 10
	// logInterval is the minimum time between two lines on refused memory.
	logInterval = buckthorndyke.Second
	// messageTimeout bounds the time for a message to the task and its reply. At the end of
	// the process the task no longer runs.
	messageTimeout = buckthorndyke.Second
	// step is the smallest number of bytes that is reserved at once.
	step = 32 << 10
)

type (
	// message is a message to the task.
	message interface {
		apply(t *task)
	}

	// growRequested asks for n more bytes for a holder of held bytes.
	growRequested struct {
		held, n int
		reply   mailer.Reply[bool]
	}

	// released says that a holder has released n bytes.
	released struct {
		n int
	}
)

func (m growRequested) apply(t *task) { m.reply.Answer(t.grow(m.held, m.n)) }
func (m released) apply(t *task)      { t.allotment = t.allotment.WithReleased(m.n) }

// Accountant is the task that keeps the account. It implements
// buckthorndyke.MemoryAccount.
type Accountant struct {
	box    *mailer.Mailbox[message]
	clock  buckthorndyke.Clock
	limit  int
	logger zerolog.Logger
	meter  buckthorndyke.Meter
}

// New returns an accountant of limit bytes.
func New(limit int, meter buckthorndyke.Meter, clock buckthorndyke.Clock, logger zerolog.Logger) *Accountant {
	return &Accountant{box: mailer.NewMailbox[message](), clock: clock, limit: limit, logger: logger, meter: meter}
}

// Open implements buckthorndyke.MemoryAccount.
func (a *Accountant) Open() buckthorndyke.MemoryReservation { return &reservation{accountant: a} }

// Serve implements suture.Service.
func (a *Accountant) Serve(ctx context.Context) error {
	t := &task{Accountant: a, allotment: allotter.New(a.limit)}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-a.box.Receive():
			m.apply(t)
		}
	}
}

// task is the state of one run of an accountant. Only its goroutine accesses it.
type task struct {
	*Accountant
	allotment allotter.Allotment
	// logged is the instant of the last line, and refused the number of refusals since then.
	logged  buckthorndyke.Millis
	refused int
}

// grow reserves n bytes for a holder of held bytes, and reports whether it did.
func (t *task) grow(held, n int) bool {
	if t.allotment.Grants(held, n) {
		t.allotment = t.allotment.WithHeld(n)
		return true
	}
	t.refused++
	t.meter.Count(buckthorndyke.MetricMemoryRefusals, 1)
	if now := t.clock.Now(); t.logged == 0 || now-t.logged >= logInterval {
		t.logger.Warn().EmbedObject(reporter.EventMemoryShort).Int("held-kb", held>>10).Int("asked-kb", n>>10).
			Int("used-kb", t.allotment.Used()>>10).Int("limit-kb", t.limit>>10).Int("refusals", t.refused).Send()
		t.logged, t.refused = now, 0
	}
	return false
}

// reservation implements buckthorndyke.MemoryReservation.
type reservation struct {
	accountant *Accountant
	// reserved is the number of bytes that the task has granted, and used the number that is
	// in use, with the allowance.
	reserved, used int
}

// Close implements buckthorndyke.MemoryReservation.
func (r *reservation) Close() {
	n := r.reserved
	r.reserved, r.used = 0, 0
	if n == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout.Duration())
	defer cancel()
	_ = r.accountant.box.Send(ctx, released{n: n})
}

// Grow implements buckthorndyke.MemoryReservation.
func (r *reservation) Grow(ctx context.Context, n int) error {
	if err := context.Cause(ctx); err != nil {
		return err
	}
	if missing := r.used + n - allowance - r.reserved; missing > 0 {
		missing = max(missing, step)
		if !r.ask(ctx, missing) {
			return buckthorndyke.ErrMemory
		}
		r.reserved += missing
	}
	r.used += n
	return nil
}

// ask asks the task for n more bytes and reports whether it has granted them. It does not
// stop when ctx ends, because a grant without a receiver would never be released.
func (r *reservation) ask(ctx context.Context, n int) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), messageTimeout.Duration())
	defer cancel()
	granted, err := mailer.Ask(ctx, r.accountant.box, func(reply mailer.Reply[bool]) message {
		return growRequested{held: r.reserved, n: n, reply: reply}
	})
	return err == nil && granted
}
