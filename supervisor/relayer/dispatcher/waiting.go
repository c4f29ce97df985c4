package dispatcher

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/selector"
	"github.com/buckthorndyke/buckthorndyke/sequencer"
)

// Lines per second on predicted waits that have ended, and on refusals of waiting requests.
const (
	forecastLines = 1
	refusalLines  = 8
)

// Outcomes of an attempt to assign a server to a request.
const (
	outcomeAdmitted outcome = iota
	// outcomeNoBudget means that the retry budget is used up.
	outcomeNoBudget
	// outcomeNoServer means that no server can take the request.
	outcomeNoServer
)

// outcome is the outcome of an attempt to assign a server to a request.
type outcome uint8

// waiting holds the requests that wait for a server. Only the task accesses it.
type waiting struct {
	// forecasts and refusals bound the lines on predictions and on refusals.
	forecasts, refusals lineLimit
	// offerAt is the instant at which free slots are offered to all requests, or 0.
	offerAt buckthorndyke.Millis
	queue   sequencer.Queue
	// requests holds the messages of the requests in the queue.
	requests map[sequencer.Ticket]admissionRequested
	// tickets holds the tickets of the jobs in the queue.
	tickets map[*job]sequencer.Ticket
}

// newWaiting returns a waiting without requests.
func newWaiting(queue sequencer.Queue) waiting {
	return waiting{
		forecasts: lineLimit{perSecond: forecastLines},
		queue:     queue,
		refusals:  lineLimit{perSecond: refusalLines},
		requests:  make(map[sequencer.Ticket]admissionRequested),
		tickets:   make(map[*job]sequencer.Ticket),
	}
}

// enqueue assigns a server to a request, or lets it wait in the queue.
func (t *task) enqueue(m admissionRequested) {
	key := m.query.Key
	// A request that finds others with its key waits with them, so that it does not pass
	// those that go before it.
	returning := t.hasReturned(m)
	first := !t.waiting.queue.Waits(key)
	if first && (t.tryAdmit(m) == outcomeAdmitted || t.refusePaused(m)) {
		return
	}
	m.queuedAt = t.clock.Now()
	queue, r := t.waiting.queue.With(t.sequenced(m, returning))
	t.waiting.queue, t.waiting.requests[r.Ticket], t.waiting.tickets[m.job] = queue, m, r.Ticket
	if !first {
		t.offer(t.waiting.queue.PassOf(t.clock.Now(), key))
	}
	if _, ok := t.waiting.requests[r.Ticket]; ok && !t.refuseIfHopeless(r) {
		t.signalNewWait(m)
	}
}

// hasReturned reports whether a request is from a client that was refused before and has
// returned as it was told.
func (t *task) hasReturned(m admissionRequested) bool {
	if m.retry {
		return false
	}
	queue, returned := t.waiting.queue.WithReturn(m.job.content(), t.clock.Now())
	t.waiting.queue = queue
	if returned {
		t.meter.Count(buckthorndyke.MetricWaitsReturned, 1)
	}
	return returned
}

// sequenced returns a request as the queue orders it.
func (t *task) sequenced(m admissionRequested, returning bool) sequencer.Request {
	j := m.job
	r := sequencer.Request{
		Caller:     j.request.Caller,
		Cost:       1,
		Deadline:   j.deadline,
		Key:        m.query.Key,
		MayHaveRun: j.executions > 0,
		Priority:   m.priority(),
		Restricted: m.retry || len(m.query.Excluded) > 0,
		Returning:  returning,
		Service:    t.spans[j.route.Name].Value(),
		Since:      j.request.Arrived,
		Until:      t.waitUntil(m),
	}
	if r.Key.Model != "" {
		r.Cost = max(j.request.PromptTokens+j.request.OutputTokens, 1)
	}
	if m.retry {
		// Its first attempt was charged.
		r.Cost = 0
	}
	if j.route.LatencyTarget > 0 {
		r.Target = j.request.Arrived + j.route.LatencyTarget
	}
	return r
}

// priority returns the priority of the request, 0 for the most urgent ones.
func (m admissionRequested) priority() int { return m.job.priority }

// forget removes a request from the queue.
func (t *task) forget(ticket sequencer.Ticket) {
	t.waiting.queue = t.waiting.queue.Without(ticket)
	t.forgetMessage(ticket)
}

// forgetMessage removes the message of a request that is no longer in the queue.
func (t *task) forgetMessage(ticket sequencer.Ticket) {
	delete(t.waiting.tickets, t.waiting.requests[ticket].job)
	delete(t.waiting.requests, ticket)
}

// forgetIf removes the requests that refuse has answered.
func (t *task) forgetIf(refuse func(m admissionRequested) bool) {
	for r := range t.waiting.queue.All() {
		if refuse(t.waiting.requests[r.Ticket]) {
			t.forget(r.Ticket)
		}
	}
}

// offer assigns servers to requests in the order of a pass.
func (t *task) offer(pass sequencer.Pass) {
	var blocked []buckthorndyke.ModelKey
	for {
		r, ok := pass.Next()
		if !ok {
			break
		}
		m := t.waiting.requests[r.Ticket]
		switch t.tryAdmit(m) {
		case outcomeAdmitted:
			t.noteGranted(pass, r, m)
			pass = pass.WithGranted(r)
			t.forgetMessage(r.Ticket)
		case outcomeNoBudget:
			pass = pass.WithoutRestricted(r.Key.Service)
		case outcomeNoServer:
			if len(m.query.Excluded) > 0 && t.serves(r.Key) {
				pass = pass.WithSkipped(r)
				continue
			}
			pass, blocked = pass.WithoutKey(r.Key), append(blocked, r.Key)
		}
	}
	t.waiting.queue = pass.Queue()
	for _, key := range blocked {
		t.refusePausedKey(key)
	}
}

// serves reports whether a server can take some request for a key.
func (t *task) serves(key buckthorndyke.ModelKey) bool {
	_, ok := t.view.Choose(t.bareQuery(key))
	return ok
}

// offerAll offers the free slots of all servers to the waiting requests, and refuses those
// that have waited too long.
func (t *task) offerAll() {
	if t.drain.end > 0 {
		t.forgetIf(t.refuseStopping)
	}
	t.waiting.offerAt = 0
	if t.waiting.queue.Len() == 0 {
		return
	}
	now := t.clock.Now()
	t.offer(t.waiting.queue.Pass(now, func(key buckthorndyke.ModelKey) bool { return t.view.Ready(key, now) }))
	if t.view.Pauses() {
		for key := range t.waiting.queue.Keys() {
			t.refusePausedKey(key)
		}
	}
	t.refuseExpired()
	t.refuseHopeless()
}

// offerServer offers the free slots of one server.
func (t *task) offerServer(id buckthorndyke.RunnerID) {
	if t.waiting.queue.Len() == 0 {
		return
	}
	now := t.clock.Now()
	t.offer(t.waiting.queue.Pass(now, func(key buckthorndyke.ModelKey) bool { return t.view.Takes(id, key, now) }))
}

// refusePausedKey refuses the requests for a key, which has no free slot, if all servers
// pause for too long.
func (t *task) refusePausedKey(key buckthorndyke.ModelKey) {
	if _, paused := t.view.PausedUntil(t.bareQuery(key)); !paused {
		return
	}
	for r := range t.waiting.queue.Of(key) {
		if t.refusePaused(t.waiting.requests[r.Ticket]) {
			t.forget(r.Ticket)
		}
	}
}

// updateLimits determines anew how long the requests may wait, after what the limits
// depend on has changed.
func (t *task) updateLimits() {
	for r := range t.waiting.queue.All() {
		t.waiting.queue = t.waiting.queue.WithUntil(r.Ticket, t.waitUntil(t.waiting.requests[r.Ticket]))
	}
}

// handleDue does what is due now: it decides on requests that wait for a grant or a
// confirmation, refuses requests that have waited too long, and offers free slots if a server
// may have become available.
func (t *task) handleDue() {
	now := t.clock.Now()
	t.retryGrants(now, false)
	if len(t.unconfirmed) > 0 {
		t.answerUnconfirmed()
	}
	if t.waiting.queue.Len() == 0 {
		t.waiting.offerAt = 0
		return
	}
	if at := t.waiting.offerAt; at > 0 && now >= at {
		t.offerAll()
		return
	}
	if at, ok := t.waiting.queue.NextExpiry(); !ok || now < at {
		return
	}
	offered := make(map[buckthorndyke.ModelKey]bool)
	for r := range t.waiting.queue.Expired(now) {
		if !offered[r.Key] {
			// A server that is free now still counts.
			offered[r.Key] = true
			t.offer(t.waiting.queue.PassOf(now, r.Key))
		}
	}
	t.refuseExpired()
}

// nextWake returns the time until a waiting request has waited too long, or until a server,
// a grant or a confirmation may become available.
func (t *task) nextWake() buckthorndyke.Millis {
	now := t.clock.Now()
	limit := t.unconfirmedWake(t.grantWake(now, maxWake))
	if t.waiting.queue.Len() == 0 {
		return limit
	}
	// The instant is kept: a message that is handled at that instant must not hide it.
	if at := now + t.view.NextRetry(now, maxWake); t.waiting.offerAt == 0 || at < t.waiting.offerAt {
		t.waiting.offerAt = at
	}
	wake := t.waiting.offerAt
	if at, ok := t.waiting.queue.NextExpiry(); ok {
		wake = min(wake, at)
	}
	return max(min(wake-now, limit), 1)
}

// bareQuery returns the query for any request for a key.
func (t *task) bareQuery(key buckthorndyke.ModelKey) selector.Query {
	return selector.Query{Domain: t.domain, Key: key, Now: t.clock.Now()}
}
