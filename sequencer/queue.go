package sequencer

import (
	"iter"

	"github.com/buckthorndyke/buckthorndyke"
)

// Queue holds the requests that wait for a server in one entry VM. It is immutable. A zero
// value serves requests in the order of their targets and deadlines; see New.
type Queue struct {
	// arrivalOrder is set if requests are served in the order of their tickets.
	arrivalOrder bool
	byTicket     index
	byUntil      index
	groups       buckthorndyke.Table[string, group]
	last         Ticket
	promises     promises
	shares       buckthorndyke.Table[string, shares]
	// lastTurn is the number of the last turn of aged requests.
	lastTurn int
	// turns counts for each service the slots since the last turn.
	turns buckthorndyke.Table[buckthorndyke.ServiceID, int]
}

// Option configures a Queue.
type Option func(*Queue)

// WithArrivalOrder serves requests in the order in which they began to wait.
func WithArrivalOrder() Option {
	return func(q *Queue) { q.arrivalOrder = true }
}

// New returns a queue without requests.
func New(opts ...Option) Queue {
	var q Queue
	for _, opt := range opts {
		opt(&q)
	}
	return q
}

// All yields the requests in the order in which they began to wait.
func (q Queue) All() iter.Seq[Request] { return valuesOf(q.byTicket) }

// Expired yields the requests that have waited as long as they may, the longest overdue
// one first.
func (q Queue) Expired(now buckthorndyke.Millis) iter.Seq[Request] {
	return func(yield func(Request) bool) {
		for p, r := range q.byUntil.all(earliest) {
			if p.at > now || !yield(r) {
				return
			}
		}
	}
}

// Get returns the request with the given ticket.
func (q Queue) Get(ticket Ticket) (Request, bool) { return q.byTicket.get(0, ticket) }

// Keys yields the keys that requests wait for.
func (q Queue) Keys() iter.Seq[buckthorndyke.ModelKey] {
	return func(yield func(buckthorndyke.ModelKey) bool) {
		for _, g := range q.groups.All() {
			if !yield(g.key) {
				return
			}
		}
	}
}

// Len returns the number of requests.
func (q Queue) Len() int { return q.byTicket.len() }

// NextExpiry returns the first instant at which a request has waited as long as it may.
func (q Queue) NextExpiry() (buckthorndyke.Millis, bool) {
	p, _, ok := q.byUntil.first(earliest)
	return p.at, ok
}

// Of yields the requests for a key.
func (q Queue) Of(key buckthorndyke.ModelKey) iter.Seq[Request] {
	g, _ := q.groups.Get(groupID(key))
	return valuesOf(g.byAged)
}

// Predicts reports whether the queue predicts waits. In the order of arrival it does not.
func (q Queue) Predicts() bool { return !q.arrivalOrder }

// Promised returns the number of clients that are expected to return.
func (q Queue) Promised() int { return q.promises.byAt.len() }

// Waits reports whether a request waits for a key.
func (q Queue) Waits(key buckthorndyke.ModelKey) bool { return q.groups.Has(groupID(key)) }

// With returns a queue in which r waits, and r with its ticket.
func (q Queue) With(r Request) (Queue, Request) {
	q.last++
	r.Ticket = q.last
	return q.with(r), r
}

// WithUntil returns a queue in which a request may wait until another instant.
func (q Queue) WithUntil(ticket Ticket, until buckthorndyke.Millis) Queue {
	r, ok := q.Get(ticket)
	if !ok || r.Until == until {
		return q
	}
	q = q.without(r)
	r.Until = until
	return q.with(r)
}

// WithPromise returns a queue that expects a client, refused at now, to return with the same
// content at an instant.
func (q Queue) WithPromise(f buckthorndyke.Fingerprint, r Request, at, now buckthorndyke.Millis) Queue {
	if !q.arrivalOrder {
		q.promises = q.promises.with(f, r, at, now)
	}
	return q
}

// WithRejected returns a queue after a server has turned away a request for a key.
func (q Queue) WithRejected(key buckthorndyke.ModelKey) Queue {
	if g, ok := q.groups.Get(groupID(key)); ok {
		g.flow = g.flow.withRejected()
		q.groups = q.groups.With(groupID(key), g)
	}
	return q
}

// WithReturn returns a queue after a request with a content has arrived at now, and whether
// its client was refused before and has returned as it was told.
func (q Queue) WithReturn(f buckthorndyke.Fingerprint, now buckthorndyke.Millis) (Queue, bool) {
	var returned bool
	q.promises, returned = q.promises.kept(f, now)
	return q, returned
}

// Without returns a queue in which a request no longer waits.
func (q Queue) Without(ticket Ticket) Queue {
	if r, ok := q.Get(ticket); ok {
		return q.without(r)
	}
	return q
}

// arranged returns r as it is arranged in its group: all requests of a queue in the order
// of arrival are alike.
func (q Queue) arranged(r Request) Request {
	if q.arrivalOrder {
		r.Caller, r.Deadline, r.Priority, r.Returning, r.Service, r.Target = "", 0, 0, false, 0, 0
	}
	return r
}

// with returns the queue with r, which has its ticket.
func (q Queue) with(r Request) Queue {
	r = q.arranged(r)
	q.byTicket, q.byUntil = q.byTicket.with(0, &r), q.byUntil.with(r.Until, &r)
	g, _ := q.groups.Get(groupID(r.Key))
	q.groups = q.groups.With(groupID(r.Key), g.with(&r))
	s, _ := q.shares.Get(sharesID(r))
	q.shares = q.shares.With(sharesID(r), s.withWaiting(r.Caller, 1))
	return q
}

// without returns the queue without r.
func (q Queue) without(r Request) Queue {
	q.byTicket, q.byUntil = q.byTicket.without(0, r.Ticket), q.byUntil.without(r.Until, r.Ticket)
	id := groupID(r.Key)
	g, _ := q.groups.Get(id)
	if g = g.without(r); g.byAged.len() == 0 {
		q.groups = q.groups.Without(id)
	} else {
		q.groups = q.groups.With(id, g)
	}
	s, _ := q.shares.Get(sharesID(r))
	q.shares = q.shares.With(sharesID(r), s.withWaiting(r.Caller, -1))
	return q
}

// valuesOf yields the requests of an index.
func valuesOf(x index) iter.Seq[Request] {
	return func(yield func(Request) bool) {
		for _, r := range x.all(earliest) {
			if !yield(r) {
				return
			}
		}
	}
}
