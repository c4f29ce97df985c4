package endtoend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/platform/imitator"
)

const (
	// minCopyAge and maxCopyAge bound the age of the copies from which the store comes back.
	minCopyAge = 500 * time.Millisecond
	maxCopyAge = 6 * time.Second
	// maxRewriteDelay bounds the time after which the operator writes its configuration again.
	maxRewriteDelay = 2 * time.Second
	// renewalTime is a time in which a leader renews its grant.
	renewalTime = time.Second
	// takeoverTime is the grant of one second and time for orders of the next leader.
	takeoverTime = 1500 * time.Millisecond
	// firstVersion is the first version that has a route of its own.
	firstVersion = 11
	// probedVersions is the number of the newest versions whose routes clients request.
	probedVersions = 4
)

// storeCopy is a copy of the store, with the version of the configuration that it has.
type storeCopy struct {
	imitator.Copy
	at      time.Time
	version callerVersion
}

// copyStore takes a copy of the store, from which it may come back later.
func (s *soak) copyStore() {
	s.t.Helper()
	c, err := s.store.Copy(s.ctx)
	asserter.NoError(s.t, err)
	s.copies = append(s.copies, storeCopy{at: time.Now(), Copy: c, version: s.history.newest()})
}

// changeLeader kills the VM whose fencing token is the highest, and gives another one time to
// take the lead. Copies of before do not have its term.
func (s *soak) changeLeader() {
	s.t.Helper()
	leader, token := s.newestLeader()
	if token == 0 {
		return
	}
	d := disturbance{begin: time.Now(), restarts: true, vm: leader}
	s.killAndRestartLeader()
	<-time.After(takeoverTime)
	s.history = s.history.withDisturbance(d)
}

// restoreStore makes the store come back from a random copy, in one of two cases after it was
// away. The operator then writes its newest configuration again, or the next version. The
// servers write their entries again as they always do. If the leader has orders to send, it
// has changed since the copy.
func (s *soak) restoreStore() {
	s.t.Helper()
	if !s.hasCallers {
		s.copyStore()
		<-time.After(renewalTime)
		s.changeLeader()
	}
	now := time.Now()
	var list []storeCopy
	for _, c := range s.copies {
		if age := now.Sub(c.at); age >= minCopyAge && age <= maxCopyAge {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		return
	}
	chosen, newest := list[s.random.IntN(len(list))], s.history.newest()
	if s.random.IntN(2) == 0 {
		faults := []imitator.StoreFaults{{Refuse: http.StatusServiceUnavailable}, {Silent: true}}
		asserter.NoError(s.t, s.store.SetFaults(s.ctx, faults[s.random.IntN(len(faults))]))
		s.sleepRandom(maxOutage)
	}
	s.restores++
	begun := time.Now()
	asserter.NoError(s.t, s.store.Restore(s.ctx, chosen.Copy))
	asserter.NoError(s.t, s.store.SetFaults(s.ctx, imitator.StoreFaults{}))
	chosen.version.begun, chosen.version.done = begun, time.Now()
	s.history = s.history.withVersion(chosen.version)
	s.sleepRandom(maxRewriteDelay)
	if s.random.IntN(2) == 0 {
		s.putConfig(newest)
	} else {
		s.writeConfig(newest)
	}
}

// probe returns a request for the route of one of the newest versions.
func (s *soak) probe(back int) imitator.Request {
	version := max(int(s.written.Load())-back, firstVersion)
	return imitator.Request{Body: "body", Key: s.key, Target: routeOf(version) + "x"}
}

// probeAll sends requests for the newest route through each VM until it serves them or does
// not know the route.
func (s *soak) probeAll() (list []recordedResponse) {
	s.t.Helper()
	for vm := range relayVMs {
		asserter.Eventually(s.t, waitLimit, func() bool {
			r := s.send(http.DefaultClient, vm, s.probe(0))
			list = append(list, r)
			return r.Status == http.StatusOK || r.Status == http.StatusNotFound
		})
	}
	return list
}

// assertRoutes checks that each VM without a fault serves the routes of the versions that were
// written before the change limit, and that no process serves the route of a version and does
// not know it later.
func (s *soak) assertRoutes(responses []recordedResponse) {
	s.t.Helper()
	written := make(map[string]time.Time)
	for _, v := range s.history.versions {
		if _, ok := written[routeOf(v.number)+"x"]; !ok {
			written[routeOf(v.number)+"x"] = v.done
		}
	}
	var served []recordedResponse
	settledVMs := make(map[int]int)
	for _, r := range responses {
		at, isProbe := written[r.Target]
		settled := r.sent.Add(-changeSettleTime)
		isSettled := isProbe && at.Before(settled) && s.history.undisturbed(r.vm, settled, r.ended)
		switch {
		case isProbe && r.Status == http.StatusOK:
			served = append(served, r)
			if isSettled {
				settledVMs[r.vm]++
			}
		case isSettled:
			asserter.True(s.t, r.Status != http.StatusNotFound, "a VM does not know the route of a confirmed version: "+describe(r))
		}
	}
	for _, r := range responses {
		if _, isProbe := written[r.Target]; !isProbe || r.Status != http.StatusNotFound {
			continue
		}
		for _, before := range served {
			wentBack := before.vm == r.vm && before.ended.Before(r.sent) && versionOf(before.Target) >= versionOf(r.Target) &&
				!s.history.restarted(r.vm, before.sent, r.ended)
			asserter.True(s.t, !wentBack, "a VM has gone back to an older version: "+describe(r)+" after "+describe(before))
		}
	}
	s.t.Logf("routes of versions: %d requests served, by VM after the change limit: %v", len(served), settledVMs)
	asserter.Equal(s.t, len(settledVMs), relayVMs)
}

// assertTerms checks that the store has got fencing tokens in rising order and each from one VM,
// also those of terms that were lost when it was restored. A token that was known before may
// come again: a leader renews its grant before it learns of a restore.
func (s *soak) assertTerms() {
	s.t.Helper()
	values, err := s.store.Appended(s.ctx, imitator.LeaderTopic)
	asserter.NoError(s.t, err)
	leaders, highest := make(map[int64]string), int64(0)
	for _, value := range values {
		var term struct {
			Address string `json:"address"`
			Fence   int64  `json:"fence"`
		}
		asserter.NoError(s.t, json.Unmarshal(value, &term))
		if leader, ok := leaders[term.Fence]; ok {
			asserter.Equal(s.t, term.Address, leader)
			continue
		}
		asserter.True(s.t, term.Fence > highest, fmt.Sprintf("the fencing token %d was given out after %d", term.Fence, highest))
		leaders[term.Fence], highest = term.Address, max(highest, term.Fence)
	}
	s.t.Logf("%d terms of leaders, %d restores of the store", len(leaders), s.restores)
}

// routeOf returns the prefix of the route that a version adds.
func routeOf(version int) string { return fmt.Sprintf("/version-%d/", version) }

// versionOf returns the version that has added the route of a target.
func versionOf(target string) (version int) {
	_, _ = fmt.Sscanf(target, "/version-%d/", &version)
	return version
}
