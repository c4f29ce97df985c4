package gatekeeper

import (
	"context"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// message is sent to a gatekeeper's task.
type message interface {
	apply(t *task)
}

// Messages.
type (
	// acquire asks for a permit.
	acquire struct {
		ctx     context.Context
		parts   int
		reply   mailer.Reply[acquired]
		request buckthorndyke.LoadRequest
	}

	// acquired is the answer to acquire.
	acquired struct {
		err    error
		permit buckthorndyke.LoadPermit
	}

	// released ends a request or a permit.
	released struct {
		id uint64
	}
)

func (m acquire) apply(t *task)  { t.acquire(m) }
func (m released) apply(t *task) { t.release(m.id) }

// holder is who waits for a permit or holds one.
type holder struct {
	reply mailer.Reply[acquired]
	// stop ends the watch on the holder's context.
	stop func() bool
}

// task is the state of one run of a gatekeeper. Only its goroutine touches it.
type task struct {
	*Gatekeeper
	adapterQueue queue
	holders      map[uint64]holder
	last         uint64
	modelQueue   queue
	// parts is the number of members that share the limits.
	parts int
}

// acquire queues a request.
func (t *task) acquire(m acquire) {
	t.last++
	id := t.last
	t.parts = m.parts
	t.holders[id] = holder{
		reply: m.reply,
		stop:  context.AfterFunc(m.ctx, func() { t.post(released{id: id}) }),
	}
	if m.request.Adapter {
		t.adapterQueue = t.adapterQueue.with(id, m.request.Rank)
	} else {
		t.modelQueue = t.modelQueue.with(id, m.request.Rank)
	}
}

// endAll refuses all requests that wait.
func (t *task) endAll() {
	for _, h := range t.holders {
		h.stop()
		h.reply.Answer(acquired{err: errEnded})
	}
}

// grant permits as many requests of q as l allows.
func (t *task) grant(q queue, l limits, now buckthorndyke.Millis) queue {
	for {
		id, next, ok := q.next(l, now)
		if !ok {
			return q
		}
		q = next
		t.holders[id].reply.Answer(acquired{permit: permit{gate: t.Gatekeeper, id: id}})
	}
}

// release ends a request or a permit.
func (t *task) release(id uint64) {
	if h, ok := t.holders[id]; ok {
		h.stop()
		delete(t.holders, id)
	}
	t.adapterQueue = t.adapterQueue.without(id)
	t.modelQueue = t.modelQueue.without(id)
}

// run handles messages until ctx ends.
func (t *task) run(ctx context.Context) error {
	for {
		now := t.clock.Now()
		models, adapters := t.models.share(t.parts), t.adapters.share(t.parts)
		t.modelQueue = t.grant(t.modelQueue, models, now)
		t.adapterQueue = t.grant(t.adapterQueue, adapters, now)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.box.Receive():
			m.apply(t)
		case <-t.timer(models, now):
		}
	}
}

// timer returns a channel that receives once the next model may be permitted,
// or nil if no model waits for that.
func (t *task) timer(l limits, now buckthorndyke.Millis) <-chan time.Time {
	at, ok := t.modelQueue.wake(l)
	if !ok {
		return nil
	}
	return t.clock.After(max(at-now, 1))
}
