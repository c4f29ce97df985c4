package sequencer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// agedDivisor divides the time that a request may wait: after that part of it the
	// request takes part in the turns of aged requests.
	agedDivisor = 2
	// agedTurn is the number of slots of a service of which one goes to an aged request,
	// whatever its rank and class: the keys take turns, so that a hot model cannot use up
	// those of a rare one. The other slots go by rank, so that aged requests cannot
	// displace the urgent ones.
	agedTurn = 8
)

// Pass is one round in which free slots are offered to the requests for some keys. It is
// immutable. The requests of a key for which there is no slot are no longer offered one in
// the same pass, so that a pass costs one choice of a server for each key and each slot.
type Pass struct {
	groups []passGroup
	now    buckthorndyke.Millis
	queue  Queue
	// restricted holds the services whose restricted requests are not offered a slot.
	restricted []buckthorndyke.ServiceID
	// skipped are requests that cannot take a slot although others with their key may.
	skipped map[Ticket]bool
}

// passGroup is a key that may have a free slot.
type passGroup struct {
	// aged is the aged request that has counted as such for the longest time.
	aged    Request
	hasAged bool
	heads   []head
	key     buckthorndyke.ModelKey
	// turn is the number of the last turn of aged requests that the key had.
	turn int
}

// Pass returns a pass over the requests for those keys that open reports to be able to have
// a free slot.
func (q Queue) Pass(now buckthorndyke.Millis, open func(key buckthorndyke.ModelKey) bool) Pass {
	p := Pass{now: now, queue: q}
	for _, g := range q.groups.All() {
		if open(g.key) {
			p.groups = append(p.groups, p.groupOf(g))
		}
	}
	return p
}

// PassOf returns a pass over the requests for one key.
func (q Queue) PassOf(now buckthorndyke.Millis, key buckthorndyke.ModelKey) Pass {
	p := Pass{now: now, queue: q}
	if g, ok := q.groups.Get(groupID(key)); ok {
		p.groups = []passGroup{p.groupOf(g)}
	}
	return p
}

// Next returns the request that is offered a slot next.
func (p Pass) Next() (Request, bool) {
	if r, ok := p.nextAged(); ok {
		return r, true
	}
	var best head
	found := false
	for _, g := range p.groups {
		for _, h := range g.heads {
			if !found || h.compare(best) < 0 {
				best, found = h, true
			}
		}
	}
	return best.request, found
}

// PassedOver returns the aged request that waits for the same key as r and is passed over
// by it.
func (p Pass) PassedOver(r Request) (Request, bool) {
	g, _ := p.queue.groups.Get(groupID(r.Key))
	at, aged, ok := g.byAged.first(earliest)
	return aged, ok && at.at <= p.now && aged.Ticket != r.Ticket
}

// Queue returns the queue without the requests that got a slot in the pass.
func (p Pass) Queue() Queue { return p.queue }

// WithGranted returns the pass after r got a slot.
func (p Pass) WithGranted(r Request) Pass {
	service := r.Key.Service
	g, _ := p.queue.groups.Get(groupID(r.Key))
	n, _ := p.queue.turns.Get(service)
	switch aged, ok := p.oldestAged(service); {
	case ok && aged.Ticket == r.Ticket:
		n = 0
		p.queue.lastTurn++
		g.turn = p.queue.lastTurn
		// Its priority says nothing of the rate.
		g.flow = g.flow.withSlot(p.now, 0)
	default:
		if ok {
			n++
		}
		g.flow = g.flow.withSlot(p.now, r.Priority)
	}
	p.queue.groups = p.queue.groups.With(groupID(r.Key), g)
	p.queue = p.queue.without(r)
	p.queue.turns = p.queue.turns.With(service, n)
	if !p.queue.arrivalOrder {
		s, _ := p.queue.shares.Get(sharesID(r))
		p = p.withShares(r, s.withServed(r.Caller, r.Cost))
	}
	return p.refreshed(r)
}

// WithSkipped returns the pass in which r is not offered a slot again.
func (p Pass) WithSkipped(r Request) Pass {
	p.skipped = maps.Clone(p.skipped)
	if p.skipped == nil {
		p.skipped = make(map[Ticket]bool)
	}
	p.skipped[r.Ticket] = true
	return p.refreshed(r)
}

// WithoutRestricted returns the pass in which the restricted requests for a service are not
// offered a slot: its retry budget is used up.
func (p Pass) WithoutRestricted(service buckthorndyke.ServiceID) Pass {
	p.restricted = append(slices.Clone(p.restricted), service)
	groups := slices.Clone(p.groups)
	for i, g := range groups {
		if g.key.Service == service {
			waiting, _ := p.queue.groups.Get(groupID(g.key))
			groups[i] = p.groupOf(waiting)
		}
	}
	p.groups = groups
	return p
}

// WithoutKey returns the pass without the requests for a key, which has no free slot.
func (p Pass) WithoutKey(key buckthorndyke.ModelKey) Pass {
	p.groups = slices.DeleteFunc(slices.Clone(p.groups), func(g passGroup) bool { return g.key == key })
	return p
}

// agedOf returns the aged request of a group that has counted as such for the longest time.
func (p Pass) agedOf(g group) (Request, bool) {
	if p.queue.arrivalOrder {
		return Request{}, false
	}
	for at, r := range g.byAged.all(earliest) {
		if at.at > p.now {
			break
		}
		if !p.skipped[r.Ticket] && !p.bars(r) {
			return r, true
		}
	}
	return Request{}, false
}

// bars reports whether a request is restricted and its service's restricted requests are not
// offered a slot.
func (p Pass) bars(r Request) bool {
	return r.Restricted && slices.Contains(p.restricted, r.Key.Service)
}

// groupOf returns the heads of a group.
func (p Pass) groupOf(g group) passGroup {
	out := passGroup{key: g.key, turn: g.turn}
	for _, l := range g.lanes.All() {
		if h, ok := p.headOf(l); ok {
			out.heads = append(out.heads, h)
		}
	}
	out.aged, out.hasAged = p.agedOf(g)
	return out
}

// headOf returns the head of a lane.
func (p Pass) headOf(l lane) (head, bool) {
	h, ok := l.head(p.now, p.skipped)
	if !ok || p.bars(h.request) {
		return head{}, false
	}
	s, _ := p.queue.shares.Get(sharesID(h.request))
	h.ahead = s.ahead(h.request.Caller)
	return h, true
}

// nextAged returns the aged request whose turn it is.
func (p Pass) nextAged() (Request, bool) {
	for _, g := range p.groups {
		if n, _ := p.queue.turns.Get(g.key.Service); g.hasAged && n >= agedTurn-1 {
			return p.oldestAged(g.key.Service)
		}
	}
	return Request{}, false
}

// oldestAged returns the aged request for a service whose key has had no turn for the longest
// time.
func (p Pass) oldestAged(service buckthorndyke.ServiceID) (Request, bool) {
	var oldest passGroup
	for _, g := range p.groups {
		if g.key.Service == service && g.hasAged && (!oldest.hasAged || g.turn < oldest.turn) {
			oldest = g
		}
	}
	return oldest.aged, oldest.hasAged
}

// refreshed returns the pass after the request r has left its lane, or is skipped.
func (p Pass) refreshed(r Request) Pass {
	at := slices.IndexFunc(p.groups, func(g passGroup) bool { return g.key == r.Key })
	if at < 0 {
		return p
	}
	waiting, _ := p.queue.groups.Get(groupID(r.Key))
	l, _ := waiting.lanes.Get(laneID(r))
	g := p.groups[at]
	g.heads = slices.DeleteFunc(slices.Clone(g.heads), func(h head) bool { return h.request.sharesLane(r) })
	if h, ok := p.headOf(l); ok {
		g.heads = append(g.heads, h)
	}
	g.turn = waiting.turn
	g.aged, g.hasAged = p.agedOf(waiting)
	p.groups = slices.Clone(p.groups)
	p.groups[at] = g
	return p
}

// withShares returns the pass after a slot has changed the shares of the callers with the
// service and priority of r.
func (p Pass) withShares(r Request, s shares) Pass {
	p.queue.shares = p.queue.shares.With(sharesID(r), s)
	if s.byCaller.Len() < 2 {
		return p
	}
	groups := slices.Clone(p.groups)
	for i, g := range groups {
		if g.key.Service != r.Key.Service {
			continue
		}
		groups[i].heads = slices.Clone(g.heads)
		for j, h := range g.heads {
			if h.request.Priority == r.Priority {
				groups[i].heads[j].ahead = s.ahead(h.request.Caller)
			}
		}
	}
	p.groups = groups
	return p
}

// compare orders heads: by priority, by the callers' shares, clients that return first, by
// what can still be met, and by slack.
func (h head) compare(other head) int {
	a, b := h.request, other.request
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(h.ahead, other.ahead),
		compareFlags(b.Returning, a.Returning),
		cmp.Compare(h.class, other.class),
		cmp.Compare(h.at, other.at),
		cmp.Compare(a.Ticket, b.Ticket),
	)
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
