package gatekeeper

import (
	"context"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// message is a message to the task of a Gatekeeper.
type message interface {
	apply(t *task)
}

// Messages.
type (
	// acquireMessage asks for a permit. It is withdrawn when ctx ends.
	acquireMessage struct {
		ctx     context.Context
		members int
		reply   mailer.Reply[acquireReply]
		request buckthorndyke.LoadRequest
	}

	// acquireReply is the reply to acquireMessage.
	acquireReply struct {
		err    error
		permit buckthorndyke.LoadPermit
	}

	// releaseMessage withdraws a request or releases a permit.
	releaseMessage struct {
		id uint64
	}
)

func (m acquireMessage) apply(t *task) { t.acquire(m) }
func (m releaseMessage) apply(t *task) { t.release(m.id) }

// holder is a request that waits for a permit or holds one.
type holder struct {
	reply mailer.Reply[acquireReply]
	// stop cancels the function that releases the holder when its context ends.
	stop func() bool
}

// task is the state of one run of a Gatekeeper. Only the goroutine of Serve uses it.
type task struct {
	*Gatekeeper
	adapterQueue queue
	holders      map[uint64]holder
	lastID       uint64
	// members is the number of members that share the limits.
	members    int
	modelQueue queue
}

// acquire queues a request.
func (t *task) acquire(m acquireMessage) {
	t.lastID++
	id := t.lastID
	t.members = m.members
	t.holders[id] = holder{
		reply: m.reply,
		stop:  context.AfterFunc(m.ctx, func() { t.post(releaseMessage{id: id}) }),
	}
	if m.request.Adapter {
		t.adapterQueue = t.adapterQueue.with(id, m.request.Rank)
	} else {
		t.modelQueue = t.modelQueue.with(id, m.request.Rank)
	}
}

// refuseAll refuses all waiting requests.
func (t *task) refuseAll() {
	for _, h := range t.holders {
		h.stop()
		h.reply.Answer(acquireReply{err: errGateStopped})
	}
}

// grant grants as many requests of q as l allows.
func (t *task) grant(q queue, l limits, now buckthorndyke.Millis) queue {
	for {
		id, next, ok := q.next(l, now)
		if !ok {
			return q
		}
		q = next
		t.holders[id].reply.Answer(acquireReply{permit: permit{gate: t.Gatekeeper, id: id}})
	}
}

// release withdraws a request or releases a permit.
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
		models, adapters := t.models.share(t.members), t.adapters.share(t.members)
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

// timer returns a channel that receives when the next load of a model may start, or nil
// if no request waits for that.
func (t *task) timer(l limits, now buckthorndyke.Millis) <-chan time.Time {
	at, ok := t.modelQueue.nextStart(l)
	if !ok {
		return nil
	}
	return t.clock.After(max(at-now, 1))
}
