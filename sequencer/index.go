package sequencer

import (
	"cmp"
	"iter"
	"math"

	"github.com/benbjohnson/immutable"

	"github.com/buckthorndyke/buckthorndyke"
)

// position orders requests by an instant and, at the same instant, by their tickets.
type position struct {
	at     buckthorndyke.Millis
	ticket Ticket
}

// earliest is before all instants.
const earliest buckthorndyke.Millis = math.MinInt64

// positionComparer compares positions. It implements immutable.Comparer.
type positionComparer struct{}

// Compare implements immutable.Comparer.
func (positionComparer) Compare(a, b position) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.ticket, b.ticket))
}

// index holds requests in the order of an instant of theirs. It is immutable; the zero
// value is empty. It holds pointers to requests, which do not change, because each change
// copies a part of the index.
type index struct {
	m *immutable.SortedMap[position, *Request]
}

// all yields the requests from the instant at on, in order.
func (x index) all(at buckthorndyke.Millis) iter.Seq2[position, Request] {
	return func(yield func(position, Request) bool) {
		if x.m == nil {
			return
		}
		it := x.m.Iterator()
		for it.Seek(position{at: at}); !it.Done(); {
			p, r, _ := it.Next()
			if !yield(p, *r) {
				return
			}
		}
	}
}

// first returns the first request from the instant at on.
func (x index) first(at buckthorndyke.Millis) (position, Request, bool) {
	for p, r := range x.all(at) {
		return p, r, true
	}
	return position{}, Request{}, false
}

// get returns the request that has the given instant and ticket.
func (x index) get(at buckthorndyke.Millis, ticket Ticket) (Request, bool) {
	if x.m == nil {
		return Request{}, false
	}
	r, ok := x.m.Get(position{at: at, ticket: ticket})
	if !ok {
		return Request{}, false
	}
	return *r, true
}

// len returns the number of requests.
func (x index) len() int {
	if x.m == nil {
		return 0
	}
	return x.m.Len()
}

// with returns the index with r at an instant.
func (x index) with(at buckthorndyke.Millis, r *Request) index {
	m := x.m
	if m == nil {
		m = immutable.NewSortedMap[position, *Request](positionComparer{})
	}
	return index{m: m.Set(position{at: at, ticket: r.Ticket}, r)}
}

// without returns the index without the request that has the given instant and ticket.
func (x index) without(at buckthorndyke.Millis, ticket Ticket) index {
	if x.m == nil {
		return x
	}
	m := x.m.Delete(position{at: at, ticket: ticket})
	if m.Len() == 0 {
		return index{}
	}
	return index{m: m}
}
