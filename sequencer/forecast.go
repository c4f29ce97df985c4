package sequencer

import (
	"math"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// doubtNumerator and doubtDenominator are the factor by which a predicted wait has to
	// exceed the time left before the request is refused: a refusal costs the client its
	// request, a wait that was in vain only time.
	doubtNumerator   = 3
	doubtDenominator = 2
	// serviceDoubt divides the predicted time to the first event for the same reason.
	serviceDoubt = 2
	// maxCounted bounds the requests that are counted for one prediction.
	maxCounted = 1024
	// uniformShift leaves 53 bits of a hash, which a float64 represents exactly.
	uniformShift = 11
	// spreadDivisor divides the predicted wait: clients are spread over that part of it.
	spreadDivisor = 4
	// limitDivisor divides the limit of those that cannot wait as long: they are spread
	// over that part of it.
	limitDivisor = 3
)

// Forecast is the predicted wait of a request.
type Forecast struct {
	// Ahead is the number of requests and expected returns that go before it.
	Ahead int
	// Known is set if there is a prediction.
	Known bool
	// Wait is the time until its turn.
	Wait buckthorndyke.Millis
}

// Misses reports whether the request will clearly not have started before an instant.
func (f Forecast) Misses(latest, now buckthorndyke.Millis) bool {
	return f.Known && f.Wait > max(latest-now, 0)*doubtNumerator/doubtDenominator
}

// ReadyAt returns the forecast for a key that has no server before an instant.
func ReadyAt(at, now buckthorndyke.Millis) Forecast {
	return Forecast{Known: true, Wait: max(at-now, 0)}
}

// Forecast predicts the wait of a request that waits for a key, from the requests that go
// before it and the rate at which slots have become free. It is not known before enough
// slots have become free while requests waited. Requests that arrive later are not counted,
// so that the wait is rather longer than predicted.
func (q Queue) Forecast(r Request, now buckthorndyke.Millis) Forecast {
	g, ok := q.groups.Get(groupID(r.Key))
	interval, known := g.flow.value(now, r.Priority)
	if q.arrivalOrder || !ok || !known {
		return Forecast{}
	}
	l, _ := g.lanes.Get(laneID(r))
	before := l.before(r, now)
	out := Forecast{Ahead: g.ahead(laneID(r), r.Priority, before), Known: true}
	if !r.Returning {
		out.Ahead += q.promises.ahead(r, before)
	}
	out.Wait = waitOf(out.Ahead, interval)
	return out
}

// Hopeless returns the waiting requests that will clearly not start in time, with their
// forecasts. Those that may have run are not among them.
func (q Queue) Hopeless(now buckthorndyke.Millis) map[Ticket]Forecast {
	out := make(map[Ticket]Forecast)
	if q.arrivalOrder {
		return out
	}
	for _, g := range q.groups.All() {
		for id, l := range g.lanes.All() {
			interval, known := g.flow.value(now, l.priority)
			if !known {
				continue
			}
			n := 0
			for r := range l.ordered(now) {
				f := Forecast{Ahead: g.ahead(id, r.Priority, n), Known: true}
				f.Wait = waitOf(f.Ahead, interval)
				if !r.MayHaveRun && f.Misses(r.Latest(), now) {
					out[r.Ticket] = f
					continue
				}
				n++
			}
		}
	}
	return out
}

// SoonestReturn returns the shortest time after which Spread tells a client to return that
// cannot wait until there is room.
func SoonestReturn(limit buckthorndyke.Millis) buckthorndyke.Millis {
	return limit - limit/limitDivisor
}

// Spread returns the time after which a client is told to return that is predicted to find
// room after wait, and not later than limit. Clients are spread by a hash of their requests,
// so that they do not return together: over a part of the time that follows the wait or, if
// they cannot wait that long, that precedes the limit.
func Spread(wait, limit buckthorndyke.Millis, seed uint64) buckthorndyke.Millis {
	uniform := float64(seed>>uniformShift) / (1 << (64 - uniformShift))
	if later := wait + buckthorndyke.Millis(uniform*float64(wait)/spreadDivisor); later <= limit {
		return later
	}
	return limit - buckthorndyke.Millis(uniform*float64(limit)/limitDivisor)
}

// ahead returns the number of requests that go before the one in a lane that has n others of
// the lane before it: those that are more urgent, and of each other caller as many as of its
// own.
func (g group) ahead(id string, priority, n int) int {
	out := n
	for other, l := range g.lanes.All() {
		switch size := l.byEnd.len(); {
		case other == id:
		case l.priority < priority:
			out += size
		case l.priority == priority:
			out += min(size, n+1)
		}
	}
	return out
}

// Latest returns the latest start at which the request may be of use: it may wait as long, and
// a response after half of the predicted time meets its deadline. Single requests take much
// less than predicted.
func (r Request) Latest() buckthorndyke.Millis {
	return min(r.Until, r.Deadline-r.Service/serviceDoubt)
}

// before returns the number of requests of the lane that go before r.
func (l lane) before(r Request, now buckthorndyke.Millis) int {
	n := 0
	for other := range l.ordered(now) {
		if n >= maxCounted || other.Ticket == r.Ticket || goesBefore(r, other, now) {
			break
		}
		n++
	}
	return n
}

// goesBefore reports whether r goes before other, of the same lane.
func goesBefore(r, other Request, now buckthorndyke.Millis) bool {
	switch rOnTime, onTime := r.due() >= now, other.due() >= now; {
	case rOnTime != onTime:
		return rOnTime
	case rOnTime:
		return r.due() < other.due()
	default:
		return r.end() >= now && (other.end() < now || r.end() < other.end())
	}
}

// waitOf returns the time until the turn of a request with the given number before it.
func waitOf(ahead int, interval float64) buckthorndyke.Millis {
	return buckthorndyke.Millis(math.Round(float64(ahead+1) * interval))
}
