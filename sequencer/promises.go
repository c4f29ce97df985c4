package sequencer

import (
	"strconv"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// maxPromises bounds the clients that are expected to return.
	maxPromises = 4096
	// earlyReturn is how much earlier than it was told a client may return: the time is
	// rounded on its way.
	earlyReturn = 20 * buckthorndyke.Millisecond
	// lateReturn is how much later than it was told a client is still expected.
	lateReturn = 2 * buckthorndyke.Second
)

// promises holds the clients that were refused and told when to return. It is immutable.
type promises struct {
	// byAt holds what is known of their requests by the instants of their return.
	byAt index
	// byFingerprint holds the earliest return of each content.
	byFingerprint buckthorndyke.Table[buckthorndyke.Fingerprint, position]
	// byTicket holds the content of each request in byAt.
	byTicket buckthorndyke.Table[Ticket, buckthorndyke.Fingerprint]
	// byGroup counts the returns for each key by caller and priority.
	byGroup buckthorndyke.Table[string, buckthorndyke.Table[string, returns]]
	last    Ticket
}

// returns counts the expected returns of one caller and priority.
type returns struct {
	caller   buckthorndyke.CallerID
	n        int
	priority int
}

// returnsID identifies the returns of a caller and priority.
func returnsID(r Request) string { return strconv.Itoa(r.Priority) + "\x00" + string(r.Caller) }

// ahead returns the number of clients whose requests are expected to go before r once they
// return: those that are more urgent or of the same caller and, of each other caller, one more
// than r has others before it.
func (p promises) ahead(r Request, before int) int {
	out := 0
	counts, _ := p.byGroup.Get(groupID(r.Key))
	for _, c := range counts.All() {
		switch {
		case c.priority < r.Priority, c.priority == r.Priority && c.caller == r.Caller:
			out += c.n
		case c.priority == r.Priority:
			out += min(c.n, before+1)
		}
	}
	return out
}

// withCount returns the promises after the number of returns like r has changed.
func (p promises) withCount(r Request, change int) promises {
	counts, _ := p.byGroup.Get(groupID(r.Key))
	c, _ := counts.Get(returnsID(r))
	if c.n += change; c.n > 0 {
		counts = counts.With(returnsID(r), returns{caller: r.Caller, n: c.n, priority: r.Priority})
	} else {
		counts = counts.Without(returnsID(r))
	}
	if counts.Len() > 0 {
		p.byGroup = p.byGroup.With(groupID(r.Key), counts)
	} else {
		p.byGroup = p.byGroup.Without(groupID(r.Key))
	}
	return p
}

// with returns the promises with a client that is told at now to return at an instant.
func (p promises) with(f buckthorndyke.Fingerprint, r Request, at, now buckthorndyke.Millis) promises {
	p = p.expired(now)
	if p.byAt.len() >= maxPromises || p.byFingerprint.Has(f) {
		return p
	}
	p.last++
	r.Ticket, p.byTicket = p.last, p.byTicket.With(p.last, f)
	p.byAt = p.byAt.with(at, &r)
	p.byFingerprint = p.byFingerprint.With(f, position{at: at, ticket: r.Ticket})
	return p.withCount(r, 1)
}

// kept returns the promises without the client that has returned at now with a content, and
// whether it has returned as it was told.
func (p promises) kept(f buckthorndyke.Fingerprint, now buckthorndyke.Millis) (promises, bool) {
	at, ok := p.byFingerprint.Get(f)
	if !ok || now < at.at-earlyReturn {
		return p, false
	}
	return p.without(at), now <= at.at+lateReturn
}

// expired returns the promises without the clients that have not returned in time.
func (p promises) expired(now buckthorndyke.Millis) promises {
	for at := range p.byAt.all(earliest) {
		if now <= at.at+lateReturn {
			break
		}
		p = p.without(at)
	}
	return p
}

// without returns the promises without the one at a position.
func (p promises) without(at position) promises {
	r, ok := p.byAt.get(at.at, at.ticket)
	if !ok {
		return p
	}
	p.byAt = p.byAt.without(at.at, at.ticket)
	f, _ := p.byTicket.Get(at.ticket)
	p.byFingerprint, p.byTicket = p.byFingerprint.Without(f), p.byTicket.Without(at.ticket)
	return p.withCount(r, -1)
}
