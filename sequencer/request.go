package sequencer

import (
	"strconv"

	"github.com/buckthorndyke/buckthorndyke"
)

// Ticket identifies a waiting request. Tickets rise in the order in which requests began to
// wait.
type Ticket uint64

// Request is a request that waits for a server.
type Request struct {
	Caller buckthorndyke.CallerID
	// Cost is what the request takes from its caller's share: tokens for a model, 1 for a
	// call of a plain service, and 0 if it was charged before.
	Cost int
	// Deadline is the instant by which the request has to be finished.
	Deadline buckthorndyke.Millis
	Key      buckthorndyke.ModelKey
	// MayHaveRun is set if a server may have run the request. It is not refused by a
	// prediction.
	MayHaveRun bool
	// Priority is 0 for the most urgent requests.
	Priority int
	// Restricted is set if the request can be sent to a part of the servers only, or only
	// while the retry budget allows it. That it finds no server says nothing of the others
	// with its key.
	Restricted bool
	// Returning is set if the client was refused before and has come back as it was told.
	Returning bool
	// Service is the predicted time from the request's start to its first event or
	// response, or 0 if unknown.
	Service buckthorndyke.Millis
	// Since is the instant from which the request waits.
	Since buckthorndyke.Millis
	// Target is the instant by which the first event or the response should arrive, or 0.
	Target buckthorndyke.Millis
	// Ticket is set by Queue.With.
	Ticket Ticket
	// Until is the instant until which the request may wait.
	Until buckthorndyke.Millis
}

// agedAt returns the instant from which on the request counts as aged.
func (r Request) agedAt() buckthorndyke.Millis { return r.Since + (r.Until-r.Since)/agedDivisor }

// due returns the latest start at which the request meets its target, or its deadline if it
// has no target.
func (r Request) due() buckthorndyke.Millis {
	if r.Target == 0 {
		return r.end()
	}
	return min(r.Target, r.Deadline) - r.Service
}

// end returns the latest start at which the request meets its deadline.
func (r Request) end() buckthorndyke.Millis { return r.Deadline - r.Service }

// groupID identifies the requests for one key.
func groupID(key buckthorndyke.ModelKey) string {
	return string(key.Service) + "\x00" + string(key.Model) + "\x00" + key.Adapter
}

// laneID identifies the requests of a group that differ in their times only.
func laneID(r Request) string {
	return strconv.Itoa(r.Priority) + "\x00" + strconv.FormatBool(r.Returning) + strconv.FormatBool(r.Restricted) + string(r.Caller)
}

// sharesLane reports whether r is in the same lane of a group as other.
func (r Request) sharesLane(other Request) bool {
	return r.Priority == other.Priority && r.Returning == other.Returning && r.Restricted == other.Restricted && r.Caller == other.Caller
}
