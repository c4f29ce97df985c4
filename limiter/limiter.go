// Package limiter limits how many requests one VM has in flight at one server, by what
// the server has accepted and rejected. It does no I/O and does not read the clock.
package limiter

import (
	"math"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// limitTTL is how long a limit is used after the last response that shows
	// something about it. The load by other VMs changes within seconds.
	limitTTL = 10 * buckthorndyke.Second
	// assumedVMs is the number of VMs that share a server until a leader tells it.
	assumedVMs = 24
	// headroom is the initial limit as a multiple of the VM's fair part of the batch:
	// most servers get requests from a part of the VMs only.
	headroom = 2
	// unlimited is the limit for a server of unknown size that has rejected nothing.
	unlimited = 1 << 20
	// quietDelay is how long after a rejection a server is not taken for quiet. What is
	// known of the other VMs' requests is up to that old: when a model becomes available,
	// it shows no requests while all VMs send some.
	quietDelay = 2500 * buckthorndyke.Millisecond
	// raiseFactor changes the limit after a success at the limit, lowerFactor after a
	// rejection, and overloadedFactor after a rejection that follows another one.
	raiseFactor      = 1.04
	lowerFactor      = 0.75
	overloadedFactor = 0.5
	// sharedFactor and sharedOverloadedFactor replace the last two if the VM's fair part is
	// large (largePart). Few VMs that each keep to their part use a runner worse than a few
	// rejections cost: in the load "8 VMs" of the selector's tests, 170 of 11,167 requests
	// were late with the lower factors and 57 with these.
	sharedFactor           = 0.9
	sharedOverloadedFactor = 0.75
	largePart              = 3
	// slowStart is added for a success at the limit while the server has rejected nothing.
	slowStart = 1
	// minRequests and minFairPart bound the limit from below: the smaller of minRequests
	// and that part of the fair part, but at least leastRequests.
	minRequests   = 0.25
	minFairPart   = 0.5
	leastRequests = 1.0 / 16
	// defaultService is the time after which a slot is assumed to become free while no
	// request of this VM has shown it. A short request ends in about this time.
	defaultService = 120 * buckthorndyke.Millisecond
	// serviceWeight is the weight of a further request in the average service time.
	serviceWeight = 1.0 / 8
	// minWaitPart is the shortest time without requests after a rejection, as a part of the
	// service time.
	minWaitPart = 0.5
	// minWait and maxWait bound the time without requests after a rejection.
	minWait = 10 * buckthorndyke.Millisecond
	maxWait = 600 * buckthorndyke.Millisecond
)

// Limit is how many requests one VM may have in flight at one lifetime of a server. A
// limit below 1 is the part of the time in which there may be one. It is immutable.
type Limit struct {
	// at is the instant of the last response that showed something about the limit.
	at buckthorndyke.Millis
	// first is the initial limit, or 1 if the size of the server is unknown. A rejection
	// while the VM has fewer requests at the server lowers the limit from there.
	first float64
	// floor is the lower bound of requests.
	floor       float64
	incarnation buckthorndyke.Incarnation
	// isOverloaded is set if the last response was a rejection.
	isOverloaded bool
	// lowered is set once the server has rejected a request.
	lowered bool
	// loweredAt is the instant at which the limit was last lowered. Rejections of
	// requests that were sent before it show nothing new.
	loweredAt buckthorndyke.Millis
	requests  float64
	// resumeAt is the instant before which no request may be sent.
	resumeAt buckthorndyke.Millis
	// service is the average time that the server takes for a request, in milliseconds,
	// or 0 if unknown.
	service float64
}

// New returns the limit at now for a server of which nothing is known but the size of its
// batch, how many VMs there are, and how long servers like it take for a request. Each may
// be 0 if unknown.
func New(incarnation buckthorndyke.Incarnation, slots, vms int, service, now buckthorndyke.Millis) Limit {
	l := Limit{at: now, first: 1, floor: minRequests, incarnation: incarnation, requests: unlimited, service: float64(service)}
	if slots > 0 {
		l.requests = 0
	}
	return l.WithPart(slots, vms)
}

// Allows reports whether one more request may be sent at now while inFlight requests of
// this VM are at the server.
func (l Limit) Allows(inFlight int, now buckthorndyke.Millis) bool {
	if now < l.resumeAt {
		return false
	}
	return inFlight == 0 || float64(inFlight+1) <= l.requests
}

// IsLowered reports whether the server has rejected a request because of which the limit
// is still lowered.
func (l Limit) IsLowered() bool { return l.lowered }

// Requests returns the limit.
func (l Limit) Requests() float64 { return l.requests }

// Service returns how long the server takes for a request, or 0 if unknown.
func (l Limit) Service() buckthorndyke.Millis { return buckthorndyke.Millis(l.service) }

// ResumeAt returns the instant before which no request may be sent.
func (l Limit) ResumeAt() buckthorndyke.Millis { return l.resumeAt }

// Valid reports whether the limit can be used at now for a lifetime of its server.
func (l Limit) Valid(incarnation buckthorndyke.Incarnation, now buckthorndyke.Millis) bool {
	return l.incarnation == incarnation && now < l.at+limitTTL
}

// WithPart returns the limit for a server with a batch of slots that vms VMs share. Either may
// be 0 if unknown.
func (l Limit) WithPart(slots, vms int) Limit {
	if slots == 0 {
		return l
	}
	if vms == 0 {
		vms = assumedVMs
	}
	fair := float64(slots) / float64(vms)
	l.floor = max(min(minRequests, minFairPart*fair), leastRequests)
	l.first = max(math.Ceil(headroom*fair), 1)
	if !l.lowered {
		l.requests = max(l.requests, l.first)
	}
	return l
}

// WithRejected returns the limit after the server has rejected a request that was sent at
// sent, as one of inFlight. spread, from 0 to 1, spreads the times at which several VMs
// try again.
func (l Limit) WithRejected(inFlight int, sent, now buckthorndyke.Millis, spread float64) Limit {
	if sent >= l.loweredAt || !l.lowered {
		l.requests = max(min(l.requests, max(float64(inFlight), l.first))*l.factor(), l.floor)
		l.lowered, l.loweredAt = true, now
	}
	l.at, l.isOverloaded = now, true
	l.resumeAt = max(l.resumeAt, now+l.wait(spread))
	return l
}

// WithServed returns the limit after the server has served a request that was sent at
// sent, as one of inFlight. isQuiet is set if all VMs together use a small part of the
// server.
func (l Limit) WithServed(inFlight int, sent, now buckthorndyke.Millis, isQuiet bool) Limit {
	took := float64(max(now-sent, 1))
	if l.service == 0 {
		l.service = took
	}
	l.service += (took - l.service) * serviceWeight
	l.at, l.isOverloaded = now, false
	if isQuiet && now >= l.loweredAt+quietDelay {
		l.lowered = false
	}
	switch {
	case float64(inFlight+1) <= l.requests:
	case !l.lowered:
		l.requests = max(l.requests+slowStart, 1)
	default:
		l.requests *= raiseFactor
	}
	if l.lowered && l.requests < 1 {
		l.resumeAt = max(l.resumeAt, now+min(buckthorndyke.Millis(l.service*(1/l.requests-1)), maxWait))
	}
	return l
}

// factor returns the factor on the limit after a rejection.
func (l Limit) factor() float64 {
	switch isLarge := l.first >= largePart; {
	case isLarge && l.isOverloaded:
		return sharedOverloadedFactor
	case isLarge:
		return sharedFactor
	case l.isOverloaded:
		return overloadedFactor
	default:
		return lowerFactor
	}
}

// wait returns the time without requests after a rejection.
func (l Limit) wait(spread float64) buckthorndyke.Millis {
	service := l.service
	if service == 0 {
		service = float64(defaultService)
	}
	span := service * max(1/l.requests-1, minWaitPart) * (0.5 + spread)
	return min(max(buckthorndyke.Millis(span), minWait), maxWait)
}
