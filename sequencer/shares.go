package sequencer

import (
	"strconv"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// quantumCosts is the number of average requests by which a caller may be ahead of
	// another one before the other goes first. Up to that, targets and deadlines decide.
	quantumCosts = 4
	// maxLagQuanta bounds how far a caller can fall behind, for example one that waits
	// for a model that no server has loaded, and so what it gets ahead of others later.
	maxLagQuanta = 8
	// costWeight is the weight of one request in the average cost.
	costWeight = 1.0 / 32
)

// share is what a caller has been served, in virtual time.
type share struct {
	spent   float64
	waiting int
}

// shares divides the free slots of one service and priority among callers, by the cost of
// their requests (start-time fair queueing). Only callers with waiting requests and those
// that are ahead of these are kept. It is immutable.
type shares struct {
	byCaller buckthorndyke.Table[buckthorndyke.CallerID, share]
	// mean is the average cost of the served requests.
	mean float64
	// virtual is the virtual time: a caller that begins to wait has at least that.
	virtual float64
}

// sharesID identifies the shares of a service's requests with one priority.
func sharesID(r Request) string { return string(r.Key.Service) + "\x00" + strconv.Itoa(r.Priority) }

// ahead returns by how many quanta a caller is ahead of the virtual time.
func (s shares) ahead(caller buckthorndyke.CallerID) int {
	if s.mean == 0 {
		return 0
	}
	c, _ := s.byCaller.Get(caller)
	return int((max(c.spent, s.virtual) - s.virtual) / (s.mean * quantumCosts))
}

// withWaiting returns the shares after a caller's number of waiting requests has changed.
func (s shares) withWaiting(caller buckthorndyke.CallerID, n int) shares {
	c, _ := s.byCaller.Get(caller)
	c.waiting += n
	c.spent = max(c.spent, s.virtual)
	if c.waiting <= 0 && c.spent <= s.virtual {
		s.byCaller = s.byCaller.Without(caller)
	} else {
		s.byCaller = s.byCaller.With(caller, c)
	}
	return s
}

// withServed returns the shares after a caller was served a request.
func (s shares) withServed(caller buckthorndyke.CallerID, cost int) shares {
	if cost <= 0 {
		return s
	}
	if s.mean == 0 {
		s.mean = float64(cost)
	}
	s.mean += (float64(cost) - s.mean) * costWeight
	c, _ := s.byCaller.Get(caller)
	start := max(c.spent, s.virtual)
	c.spent = start + float64(cost)
	s.byCaller = s.byCaller.With(caller, c)
	return s.withVirtual(start)
}

// withVirtual returns the shares with the virtual time of the caller that is furthest
// ahead, but not too far behind a request that started at the given time.
func (s shares) withVirtual(started float64) shares {
	least, found := 0.0, false
	for _, c := range s.byCaller.All() {
		if c.waiting > 0 && (!found || c.spent < least) {
			least, found = c.spent, true
		}
	}
	if !found {
		least = started
	}
	s.virtual = max(s.virtual, least, started-maxLagQuanta*quantumCosts*s.mean)
	for caller, c := range s.byCaller.All() {
		if c.waiting <= 0 && c.spent <= s.virtual {
			s.byCaller = s.byCaller.Without(caller)
		}
	}
	return s
}
