package apportioner

import (
	"cmp"
	"math"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// maxCallers is the maximum number of callers in a report.
	maxCallers = 256
	// recentDemand is how long after its last request a caller counts as active.
	recentDemand = 30 * buckthorndyke.Second
	// askSpan is for how much time of the allotment a VM asks at most.
	askSpan = 100 * buckthorndyke.Millisecond
	// ShortWait is the time until there is room for which a request waits instead of
	// being refused: a client that is told to come back cannot do so sooner.
	ShortWait = 150 * buckthorndyke.Millisecond
)

// Outcomes of the charge of a request.
const (
	// Wait means that the VM does not know whether there is room for the request. It has
	// to report.
	Wait Outcome = iota
	// Admitted means that the request was charged, or needs no charge.
	Admitted
	// Exceeded means that the allotment is known to have no room for the request.
	Exceeded
)

// Outcome is the outcome of the charge of a request.
type Outcome uint8

// Decision is the decision on a request.
type Decision struct {
	Outcome Outcome
	// RoomIn is the time until there is room, or 0 if unknown.
	RoomIn buckthorndyke.Millis
}

// Usage is what a VM has used of the callers' allotments since the start of its process,
// and what it may use. It is immutable.
type Usage struct {
	bounds  buckthorndyke.AllotmentBounds
	callers buckthorndyke.Callers
	// granted is set once a leader has granted anything.
	granted bool
	// limited is set if a caller has an allotment.
	limited bool
	number  uint64
	// position is that of the leader whose reply was the last one with grants, or 0.
	position int64
	// reportedAt is the instant of the last report.
	reportedAt buckthorndyke.Millis
	uses       buckthorndyke.Table[buckthorndyke.CallerID, use]
}

// use is what a VM has used of one caller's allotment.
type use struct {
	asked float64
	// charged is what requests were charged, and sent the part of it that was sent to
	// servers. What waits for a server may be sent at any time, so that it still counts
	// as not spent.
	charged, sent float64
	demandAt      buckthorndyke.Millis
	// filled is what was added to limit without a leader, until filledAt.
	filled   float64
	filledAt buckthorndyke.Millis
	// heardAt is the instant of the leader's last grant, if heard is set.
	heard   bool
	heardAt buckthorndyke.Millis
	limit   float64
	// lost is set if there is no leader, since lostAt.
	lost   bool
	lostAt buckthorndyke.Millis
	// roomAt is the instant until which the allotment is known to have no room.
	roomAt buckthorndyke.Millis
	share  float64
	terms  terms
}

// NewUsage returns the usage of a process that has just started. It holds nothing.
func NewUsage(bounds buckthorndyke.AllotmentBounds) Usage { return Usage{bounds: bounds} }

// Limits reports whether the requests of a caller are charged.
func (u Usage) Limits(id buckthorndyke.CallerID) bool {
	if id == "" {
		return false
	}
	caller, ok := u.callers.Get(id)
	return ok && !caller.Unlimited()
}

// Cost returns what a request takes from its caller's allotment.
func (u Usage) Cost(r buckthorndyke.RelayRequest) float64 {
	caller, _ := u.callers.Get(r.Caller)
	return caller.Cost(r)
}

// Granted reports whether a leader has granted anything since the process started.
func (u Usage) Granted() bool { return u.granted }

// AskLimit returns how much of what a caller's requests wait for a VM reports at most,
// besides the first request: one VM that has many does not empty the bucket for all.
func (u Usage) AskLimit(id buckthorndyke.CallerID) float64 {
	caller, _ := u.callers.Get(id)
	return caller.PerSecond * float64(askSpan) / float64(buckthorndyke.Second)
}

// LeaderPosition returns the position of the leader that has granted something last, or 0 if
// unknown.
func (u Usage) LeaderPosition() int64 { return u.position }

// Share returns the fraction of a caller's allotment that the VM may use without a
// leader, and the age of the leader's last grant, or false if there was none.
func (u Usage) Share(id buckthorndyke.CallerID, now buckthorndyke.Millis) (float64, buckthorndyke.Millis, bool) {
	c, ok := u.uses.Get(id)
	if !ok || !c.heard {
		return 0, 0, false
	}
	return c.share, now - c.heardAt, true
}

// WithCallers returns the usage with another version of the configuration. Where an
// allotment was lowered, what the VM still holds shrinks with it.
func (u Usage) WithCallers(callers buckthorndyke.Callers) Usage {
	u.callers, u.limited = callers, false
	for _, caller := range callers.All() {
		u.limited = u.limited || !caller.Unlimited()
	}
	for id, c := range u.uses.All() {
		if !u.Limits(id) {
			u.uses = u.uses.Without(id)
			continue
		}
		caller, _ := callers.Get(id)
		next := termsOf(caller.Allotment, u.bounds)
		if next == c.terms {
			continue
		}
		if next.room < c.terms.room {
			c.limit = c.charged + max(c.limit-c.charged, 0)*next.room/c.terms.room
		}
		c.terms = next
		u.uses = u.uses.With(id, c)
	}
	return u
}

// WithGrants returns the usage with the leader's reply to the VM's last report. position is
// that in the reply, or 0 if it has none. A VM that was paused may receive the reply when
// the leader no longer counts on it: it then changes nothing.
func (u Usage) WithGrants(grants []buckthorndyke.AllotmentGrant, position int64, now buckthorndyke.Millis) Usage {
	if now > u.reportedAt+contactLimit {
		return u
	}
	if position != 0 || len(grants) > 0 {
		u.position = position
	}
	u.granted = u.granted || len(grants) > 0
	for _, g := range grants {
		if !u.Limits(g.Caller) {
			continue
		}
		c := u.use(g.Caller)
		// Requests that were charged since the report keep their charge.
		c.limit = max(g.Limit, c.charged)
		// The leader counts the time from the report on.
		c.heard, c.heardAt, c.lost, c.share = true, u.reportedAt, false, g.Share
		c.roomAt = 0
		if g.RoomIn > 0 {
			c.roomAt = now + g.RoomIn
		}
		u.uses = u.uses.With(g.Caller, c)
	}
	return u
}

// WithoutLeader returns the usage of a VM to which no leader replies. It goes on by its
// shares.
func (u Usage) WithoutLeader(now buckthorndyke.Millis) Usage {
	for id, c := range u.uses.All() {
		u.uses = u.uses.With(id, c.settled(now).withoutLeader(now))
	}
	return u
}

// WithAsked returns the usage after a request of a caller has arrived.
func (u Usage) WithAsked(id buckthorndyke.CallerID, cost float64, now buckthorndyke.Millis) Usage {
	c := u.use(id)
	c.asked += cost
	c.demandAt = now
	u.uses = u.uses.With(id, c)
	return u
}

// WithCharge returns the decision on a request, and the usage with its charge if it is
// admitted.
func (u Usage) WithCharge(id buckthorndyke.CallerID, cost float64, now buckthorndyke.Millis) (Usage, Decision) {
	c, ok := u.uses.Get(id)
	if !ok {
		// The configuration no longer limits the caller.
		return u, Decision{Outcome: Admitted}
	}
	c = c.settled(now)
	decision := c.decide(cost, now)
	if decision.Outcome == Admitted {
		c.charged += cost
	}
	u.uses = u.uses.With(id, c)
	return u, decision
}

// WithSent returns the usage after a request that was charged was sent to a server.
func (u Usage) WithSent(id buckthorndyke.CallerID, cost float64) Usage {
	return u.with(id, func(c *use) { c.sent += cost })
}

// WithRefund returns the usage after a charged request has ended and no server has run
// it. sent is set if it was sent to a server.
func (u Usage) WithRefund(id buckthorndyke.CallerID, cost float64, sent bool) Usage {
	return u.with(id, func(c *use) {
		c.charged = max(c.charged-cost, 0)
		if sent {
			c.sent = max(c.sent-cost, 0)
		}
	})
}

// WithReport returns the usage after a report, and the report's entries and number.
// waiting is what the requests of callers that wait for a grant need. The number is 0 if
// no caller has an allotment.
func (u Usage) WithReport(
	waiting map[buckthorndyke.CallerID]float64, now buckthorndyke.Millis,
) (Usage, []buckthorndyke.AllotmentUse, uint64) {
	if !u.limited {
		return u, nil, 0
	}
	u.number++
	u.reportedAt = now
	var out []buckthorndyke.AllotmentUse
	for id, c := range u.uses.All() {
		c = c.settled(now)
		if c.idle(now) && waiting[id] == 0 {
			u.uses = u.uses.Without(id)
			continue
		}
		u.uses = u.uses.With(id, c)
		entry := buckthorndyke.AllotmentUse{
			Asked: c.asked, Caller: id, Filled: c.filled, Limit: c.limit, Share: c.share, Spent: c.sent,
		}
		if waiting[id] > 0 {
			entry.Waiting = max(waiting[id]-max(c.limit-c.charged, 0), 0)
		}
		out = append(out, entry)
	}
	if len(out) <= maxCallers {
		return u, out, u.number
	}
	slices.SortStableFunc(out, func(a, b buckthorndyke.AllotmentUse) int {
		x, _ := u.uses.Get(a.Caller)
		y, _ := u.uses.Get(b.Caller)
		return cmp.Compare(y.demandAt, x.demandAt)
	})
	for _, left := range out[maxCallers:] {
		// The leader takes what is not reported for given back.
		u = u.with(left.Caller, func(c *use) { c.limit, c.share = c.charged, 0 })
	}
	return u, out[:maxCallers], u.number
}

// use returns what the VM has used of a caller's allotment.
func (u Usage) use(id buckthorndyke.CallerID) use {
	c, ok := u.uses.Get(id)
	if !ok {
		caller, _ := u.callers.Get(id)
		c = use{terms: termsOf(caller.Allotment, u.bounds)}
	}
	return c
}

func (u Usage) with(id buckthorndyke.CallerID, change func(c *use)) Usage {
	c, ok := u.uses.Get(id)
	if !ok {
		return u
	}
	change(&c)
	u.uses = u.uses.With(id, c)
	return u
}

// decide returns the decision on a request. c is settled.
func (c use) decide(cost float64, now buckthorndyke.Millis) Decision {
	missing := cost - (c.limit - c.charged)
	switch {
	case missing <= 0:
		return Decision{Outcome: Admitted}
	case c.lost:
		return Decision{RoomIn: c.ownRoomIn(missing)}
	case c.heard && now+ShortWait < c.roomAt:
		return Decision{Outcome: Exceeded, RoomIn: c.roomAt - now}
	default:
		return Decision{RoomIn: max(c.roomAt-now, 0)}
	}
}

// idle reports whether the VM holds nothing of the allotment and needs nothing.
func (c use) idle(now buckthorndyke.Millis) bool {
	return c.share == 0 && c.limit <= c.charged && c.sent >= c.charged && now > c.demandAt+recentDemand
}

// ownRoomIn returns the time until the VM's share has filled in what a request misses, or
// 0 if it never does.
func (c use) ownRoomIn(missing float64) buckthorndyke.Millis {
	if c.share == 0 || c.limit+missing > c.sent+c.share*c.terms.room {
		return 0
	}
	needed := (c.limit + missing - c.sent) / (c.share * c.terms.room)
	deepAt := c.lostAt + buckthorndyke.Millis(math.Ceil((needed-firstDepth)/(1-firstDepth)*float64(depthTime)))
	return max(buckthorndyke.Millis(math.Ceil(missing/(c.share*c.terms.perMilli))), deepAt-c.filledAt)
}

// depthAt returns the part of its share of the room up to which a VM without a leader fills
// its limit.
func (c use) depthAt(now buckthorndyke.Millis) float64 {
	return min(firstDepth+(1-firstDepth)*float64(now-c.lostAt)/float64(depthTime), 1)
}

// settled returns c with what the VM's share has filled in until now without a leader. A
// VM that was paused finds out here that it has had no reply for too long.
func (c use) settled(now buckthorndyke.Millis) use {
	if c.heard && !c.lost && now > c.heardAt+contactLimit {
		c = c.withoutLeader(c.heardAt + contactLimit)
	}
	if !c.lost {
		return c
	}
	until := min(now, c.heardAt+shareLimit)
	if until > c.filledAt {
		depth := max(c.sent+c.share*c.terms.room*c.depthAt(until), c.limit)
		added := min(c.share*c.terms.perMilli*float64(until-c.filledAt), depth-c.limit)
		c.filled += added
		c.limit += added
		c.filledAt = until
	}
	if now > c.heardAt+shareLimit {
		c.limit, c.share = c.charged, 0
	}
	return c
}

// withoutLeader returns c after the VM has lost the leader. It keeps no more of its limit
// than its share of the room, because a new leader does not know what it holds.
func (c use) withoutLeader(now buckthorndyke.Millis) use {
	if c.lost || !c.heard {
		return c
	}
	c.lost, c.lostAt, c.filledAt, c.roomAt = true, now, now, 0
	c.limit = min(c.limit, max(c.sent+c.share*c.terms.room, c.charged))
	return c
}
