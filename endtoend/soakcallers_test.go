package endtoend

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/platform/imitator"
)

// Callers of the soak. The keys of the changing one are numbered, and none but the last is
// used again after it was taken away.
const (
	steadyCaller, steadyKey   = "steady", "steady-key"
	limitedCaller, limitedKey = "limited", "limited-key"
	changingCaller            = "changing"
	unknownKey                = "unknown-key"
	// changingKeys is the number of keys that the changing caller may get. Clients draw from
	// all of them, also from those that it does not have yet.
	changingKeys = 12
)

// Allotment of the limited caller.
const (
	allotmentBurst   = 10
	allotmentOverage = 0.1
	allotmentSlack   = 10
	allotmentWindow  = time.Second
)

const (
	// soakFlooders is the number of clients that send for the limited caller, as often as
	// floodInterval allows.
	soakFlooders  = 6
	floodInterval = 10 * time.Millisecond
	// changeSettleTime is the change limit of 3 s and 1 s for the load of the machine.
	changeSettleTime = 4 * time.Second
	// calmTime is the part of a seed with callers that has no faults. At its beginning the keys
	// change and the limit falls, and requests after changeSettleTime show whether each VM
	// knows that. The lower limit binds one window later.
	calmTime = changeSettleTime + 2*allotmentWindow + time.Second/2
	// allVMs is the VM of a fault of the store.
	allVMs = -1
)

// allotmentPaces are the limits that are drawn, in requests per second. What the highest one
// allows exceeds the bound of the lowest one, and the flood exceeds both.
var allotmentPaces = []float64{5, 20, 80}

// callerVersion is the part of a version of the configuration that concerns callers.
type callerVersion struct {
	// begun and done are the times before and after the store got the version, from the
	// operator or from a copy.
	begun, done time.Time
	// keys are those of the changing caller.
	keys   []string
	number int
	// pace is the limit of the limited caller.
	pace float64
}

// holds reports whether the key is one of a caller.
func (v callerVersion) holds(key string) bool {
	return key == steadyKey || key == limitedKey || slices.Contains(v.keys, key)
}

// disturbance is the time of a fault that may delay a change at a VM.
type disturbance struct {
	begin, end time.Time
	// isPlanned is set if each request that a server runs must get a response.
	isPlanned bool
	// restarts is set if another process of the VM runs afterwards.
	restarts bool
	vm       int
}

// callerHistory holds the versions and the faults of a soak, in their order. It is
// immutable.
type callerHistory struct {
	disturbances []disturbance
	versions     []callerVersion
}

// withDisturbance returns the history with a fault that ends now.
func (h callerHistory) withDisturbance(d disturbance) callerHistory {
	d.end = time.Now()
	h.disturbances = append(slices.Clip(h.disturbances), d)
	return h
}

// withVersion returns the history with another version.
func (h callerHistory) withVersion(v callerVersion) callerHistory {
	h.versions = append(slices.Clip(h.versions), v)
	return h
}

// newest returns the newest version.
func (h callerHistory) newest() callerVersion { return h.versions[len(h.versions)-1] }

// undisturbed reports whether a VM had no fault of its own or of the store from begin to end.
func (h callerHistory) undisturbed(vm int, begin, end time.Time) bool {
	return !h.has(vm, begin, end, func(disturbance) bool { return true })
}

// calmBesidesPlans is undisturbed, but for planned work.
func (h callerHistory) calmBesidesPlans(vm int, begin, end time.Time) bool {
	return !h.has(vm, begin, end, func(d disturbance) bool { return !d.isPlanned })
}

// restarted reports whether a VM's process has changed from begin to end.
func (h callerHistory) restarted(vm int, begin, end time.Time) bool {
	return h.has(vm, begin, end, func(d disturbance) bool { return d.restarts })
}

// has reports whether there was a fault of a VM or of the store from begin to end that counts.
func (h callerHistory) has(vm int, begin, end time.Time, counts func(disturbance) bool) bool {
	return slices.ContainsFunc(h.disturbances, func(d disturbance) bool {
		return counts(d) && (d.vm == vm || vm == allVMs || d.vm == allVMs) && d.begin.Before(end) && d.end.After(begin)
	})
}

// lastChange returns whether a caller has the key in the newest version before the given
// time, and since when that is so.
func (h callerHistory) lastChange(key string, before time.Time) (held bool, at time.Time) {
	for i, v := range h.versions {
		if !v.begun.Before(before) {
			break
		}
		if i == 0 || v.holds(key) != held {
			held, at = v.holds(key), v.done
		}
	}
	return held, at
}

// everHeld reports whether a version that was put in the store before the given time has
// the key.
func (h callerHistory) everHeld(key string, before time.Time) bool {
	return slices.ContainsFunc(h.versions, func(v callerVersion) bool { return v.begun.Before(before) && v.holds(key) })
}

// paceAt returns the highest limit that may be in force in the window from begin on. A lower
// limit binds one window after it is in force on all VMs.
func (h callerHistory) paceAt(begin time.Time) float64 {
	pace := 0.0
	for i, v := range h.versions {
		replaced := i+1 < len(h.versions) && h.inForce(h.versions[i+1].done).Add(allotmentWindow).Before(begin)
		if !replaced && v.begun.Before(begin.Add(allotmentWindow)) {
			pace = max(pace, v.pace)
		}
	}
	return pace
}

// inForce returns the time at which all VMs must know a version that was put in the store at
// the given time.
func (h callerHistory) inForce(at time.Time) time.Time {
	for _, d := range h.disturbances {
		if d.end.After(at) && d.begin.Before(at.Add(changeSettleTime)) {
			at = d.end
		}
	}
	return at.Add(changeSettleTime)
}

// startCallers puts the first version with callers in the store, and waits until each VM
// checks keys.
func (s *soak) startCallers() {
	s.t.Helper()
	s.putConfig(callerVersion{keys: []string{s.newKey()}, pace: slices.Max(allotmentPaces)})
	for i := range relayVMs {
		asserter.Eventually(s.t, waitLimit, func() bool {
			return s.send(http.DefaultClient, i, imitator.Request{Body: "body", Key: unknownKey, Target: "/calls/x"}).Status == http.StatusUnauthorized
		})
	}
	s.checkedFrom = time.Now()
}

// changeConfig puts a version in the store, with a random change of callers if there are any.
func (s *soak) changeConfig() {
	s.t.Helper()
	next := s.history.newest()
	if !s.hasCallers {
		s.putConfig(next)
		return
	}
	switch s.random.IntN(4) {
	case 0:
		next.keys = append(slices.Clone(next.keys), s.newKey())
	case 1:
		next.keys = slices.Clone(next.keys[min(1, len(next.keys)):])
	case 2:
		next.keys = []string{s.newKey(), s.newKey()}
	default:
		next.pace = allotmentPaces[s.random.IntN(len(allotmentPaces))]
	}
	s.putConfig(next)
}

// calmDown leaves the VMs without faults after the store was restored, all keys of a caller
// were replaced and the limit was lowered.
func (s *soak) calmDown() {
	s.t.Helper()
	s.clearFaults()
	begin := time.Now()
	s.restoreStore()
	s.history = s.history.withDisturbance(disturbance{begin: begin, vm: allVMs})
	next := s.history.newest()
	next.keys, next.pace = []string{s.newKey(), s.newKey()}, slices.Min(allotmentPaces)
	s.putConfig(next)
	select {
	case <-s.ctx.Done():
	case <-time.After(calmTime):
	}
}

// newKey returns a key that the changing caller has not had yet, or the last one.
func (s *soak) newKey() string {
	s.keys = min(s.keys+1, changingKeys)
	return changingKey(s.keys)
}

// changingKey returns a key of the changing caller, which are numbered from 1.
func changingKey(n int) string { return fmt.Sprintf("key-%d", n) }

// putConfig puts the next version in the store, with the given callers if there are any.
func (s *soak) putConfig(v callerVersion) {
	s.t.Helper()
	s.version++
	v.number = s.version
	s.writeConfig(v)
}

// writeConfig puts a version in the store.
func (s *soak) writeConfig(v callerVersion) {
	s.t.Helper()
	config := imitator.Config(v.number, "/calls/")
	for n := firstVersion; n <= v.number; n++ {
		config = imitator.WithRoute(config, fmt.Sprint("version-", n), routeOf(n))
	}
	if s.hasCallers {
		config = imitator.WithCallers(config, imitator.Caller(steadyCaller, steadyKey), imitator.Caller(changingCaller, v.keys...),
			imitator.LimitedCaller(limitedCaller, v.pace, allotmentBurst, limitedKey))
	} else {
		config = imitator.WithWeightRoom(config, roomForOneModel)
	}
	v.begun = time.Now()
	asserter.NoError(s.t, s.store.Put(s.ctx, imitator.ConfigTopic, imitator.ConfigKey, config))
	v.done = time.Now()
	s.history = s.history.withVersion(v)
	s.written.Store(int64(v.number))
}

// withIdentity returns the request with a random key, or without one, and at times with a
// caller's name that the client claims or on the public route.
func withIdentity(q imitator.Request, random *rand.Rand) imitator.Request {
	switch random.IntN(8) {
	case 0:
		q.Key = unknownKey
	case 1:
	case 2:
		q.Key = limitedKey
	case 3, 4, 5:
		q.Key = changingKey(1 + random.IntN(changingKeys))
	default:
		q.Key = steadyKey
	}
	if random.IntN(4) == 0 {
		q.Alias = steadyCaller
	}
	if q.Model == "" && random.IntN(8) == 0 {
		q.Target = "/public/x"
	}
	return q
}

// holderOf returns the name of the caller to which a version may give the key.
func holderOf(key string) string {
	switch key {
	case steadyKey:
		return steadyCaller
	case limitedKey:
		return limitedCaller
	default:
		return changingCaller
	}
}
