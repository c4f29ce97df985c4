package selector

import (
	"cmp"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/limiter"
)

const (
	// batchPercent is how many requests all VMs together may have at a runner, in
	// hundredths of its batch: some more than the batch holds, so that a slot that
	// becomes free is used at once.
	batchPercent = 125
	// quietDivisor divides the batch of a runner: one with fewer requests of all VMs is
	// quiet, and its limit is raised as if it had rejected nothing.
	quietDivisor = 2
)

// LimitedServer describes a runner that has rejected requests, for operators.
type LimitedServer struct {
	Server buckthorndyke.RunnerID
	// InFlight is the number of the VM's requests at the runner.
	InFlight int
	// Limit is how many requests the VM may have there.
	Limit float64
	// ResumeIn is the time until the VM sends it a request again, or 0.
	ResumeIn buckthorndyke.Millis
}

// Holds reports whether a server that the request may be sent to has loaded what it needs,
// whether or not it has room.
func (v View) Holds(q Query) bool {
	return slices.ContainsFunc(v.holders(q.Key), func(h holder) bool {
		return !v.Leaves(*h.server) && !slices.Contains(q.Excluded, h.server.ID) && v.holdsModel(h, q)
	})
}

// LimitedServers returns the runners whose limits rejections have lowered, the lowest
// limits first.
func (v View) LimitedServers(now buckthorndyke.Millis) []LimitedServer {
	var out []LimitedServer
	for id, l := range v.limits.All() {
		listed, ok := v.list.Servers.Get(id)
		if ok && l.IsLowered() && l.Valid(listed.Incarnation, now) {
			out = append(out, LimitedServer{
				Server: id, InFlight: v.OwnLoad(id).Requests, Limit: l.Requests(), ResumeIn: max(l.ResumeAt()-now, 0),
			})
		}
	}
	slices.SortStableFunc(out, func(a, b LimitedServer) int { return cmp.Compare(a.Limit, b.Limit) })
	return out
}

// WithFleetSize returns a view for one of n entry VMs, or of an unknown number if n is 0.
func (v View) WithFleetSize(n int) View {
	v.fleetSize = n
	return v
}

// WithFull returns a view in which a runner has rejected at now a request, sent at sent,
// because it is full. The request must not count as load anymore.
func (v View) WithFull(id buckthorndyke.RunnerID, sent, now buckthorndyke.Millis) View {
	listed, ok := v.list.Servers.Get(id)
	if !ok {
		return v
	}
	inFlight := v.OwnLoad(id).Requests + 1
	l := v.limit(listed, now).WithRejected(inFlight, sent, now, uniformOf(id, uint64(now)))
	return v.withLimit(id, l, now)
}

// WithRoomUsed returns a view in which a runner has served a request that was sent at
// sent. The request must not count as load anymore.
func (v View) WithRoomUsed(id buckthorndyke.RunnerID, sent, now buckthorndyke.Millis) View {
	listed, ok := v.list.Servers.Get(id)
	if !ok {
		return v
	}
	others, known := v.othersAt(id, now)
	inFlight := v.OwnLoad(id).Requests + 1
	isQuiet := known && (others+inFlight)*quietDivisor < listed.Slots
	l := v.limit(listed, now).WithServed(inFlight, sent, now, isQuiet)
	v.service = l.Service()
	return v.withLimit(id, l, now)
}

// hasRoom reports whether the VM may send one more request to a server.
func (v View) hasRoom(listed buckthorndyke.Backend, q Query) bool {
	if q.Key.Model == "" {
		return true
	}
	own := v.OwnLoad(listed.ID).Requests
	if !v.hasMemory(listed, q) || !v.limit(listed, q.Now).Allows(own, q.Now) {
		return false
	}
	others, known := v.othersAt(listed.ID, q.Now)
	// One request is always allowed: what the leader tells is up to seconds old.
	return own == 0 || !known || listed.Slots == 0 || own+others < listed.Slots*batchPercent/100
}

// limit returns the limit of a server. One that is old or belongs to an earlier lifetime
// of the server does not count.
func (v View) limit(listed buckthorndyke.Backend, now buckthorndyke.Millis) limiter.Limit {
	if l, ok := v.limits.Get(listed.ID); ok && l.Valid(listed.Incarnation, now) {
		return l.WithPart(listed.Slots, v.fleetSize)
	}
	return limiter.New(listed.Incarnation, listed.Slots, v.fleetSize, v.service, now)
}

// othersAt returns the number of requests of the other VMs at a server, or false if it is
// not known.
func (v View) othersAt(id buckthorndyke.RunnerID, now buckthorndyke.Millis) (int, bool) {
	if now >= v.otherVMsLoadsUntil {
		return 0, false
	}
	others, _ := v.otherVMsLoads.Get(id)
	return others, true
}

// withLimit returns the view with another limit of a server.
func (v View) withLimit(id buckthorndyke.RunnerID, l limiter.Limit, now buckthorndyke.Millis) View {
	v.limits = v.limits.With(id, l)
	if l.ResumeAt() > now {
		v.fullUntil = v.fullUntil.With(id, l.ResumeAt())
	}
	return v
}
