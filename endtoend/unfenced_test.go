package endtoend

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/platform/imitator"
)

// roomForOneModel is the size of a runner's memory for weights that has room for one of the
// models of imitator.Config, in megabytes.
const roomForOneModel = 70000

// TestRunnersWithoutFencing checks that orders of two leaders do not mix at runners that
// accept outdated fencing tokens, whatever stops a leader. Runners have room for one of
// four models, so that leaders always have orders to send. Each subtest makes another VM
// take over, and lets the one before go on while the successor orders.
func TestRunnersWithoutFencing(t *testing.T) {
	s := startRelayFixture(t, false, nil)
	config := imitator.WithWeightRoom(imitator.Config(2, "/calls/"), roomForOneModel)
	asserter.NoError(t, s.store.Put(s.ctx, imitator.ConfigTopic, imitator.ConfigKey, config))
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	models := []string{"m0", "m1", "cold-1", "cold-2"}
	for vm := range relayVMs {
		go func() {
			for n := 0; ctx.Err() == nil; n++ {
				_ = s.sendRequest(vm, "/streams/x", models[(n+vm)%len(models)])
			}
		}()
	}
	for _, step := range []struct {
		name string
		run  func(s *relayFixture)
	}{
		{"a leader that is paused and wakes while its successor orders", (*relayFixture).pauseLeader},
		{"a leader that is paused again and again", (*relayFixture).pauseLeaderOften},
		{"a leader that the store does not answer", (*relayFixture).interruptStore},
		{"a leader that is killed", (*relayFixture).killAndRestartLeader},
	} {
		t.Run(step.name, func(t *testing.T) {
			s.t = t
			_, before := s.awaitLeader(0)
			step.run(s)
			_, _ = s.awaitLeader(before)
			<-time.After(settleTime)
			s.assertFencingTokens()
		})
	}
}

// settleTime is how long leaders go on after a takeover before their orders are checked.
const settleTime = 1500 * time.Millisecond

// awaitLeader waits for an order with a fencing token above before, and returns the VM that
// sent it and the token.
func (s *relayFixture) awaitLeader(before int64) (leader int, fencingToken int64) {
	s.t.Helper()
	asserter.Eventually(s.t, waitLimit, func() bool {
		leader, fencingToken = s.newestLeader()
		return fencingToken > before
	})
	return leader, fencingToken
}

// pauseLeader stops the leader's process until another VM has sent an order.
func (s *relayFixture) pauseLeader() {
	leader, before := s.newestLeader()
	asserter.NoError(s.t, s.processes[leader].Signal(syscall.SIGSTOP))
	_, _ = s.awaitLeader(before)
	asserter.NoError(s.t, s.processes[leader].Signal(syscall.SIGCONT))
}

// pauseLeaderOften stops the leader's process for times around the duration of its grant.
func (s *relayFixture) pauseLeaderOften() {
	leader, before := s.newestLeader()
	for _, d := range []time.Duration{900, 1100, 1300, 1500, 1700} {
		asserter.NoError(s.t, s.processes[leader].Signal(syscall.SIGSTOP))
		<-time.After(d * time.Millisecond)
		asserter.NoError(s.t, s.processes[leader].Signal(syscall.SIGCONT))
		<-time.After(100 * time.Millisecond)
	}
	if _, now := s.newestLeader(); now == before {
		s.pauseLeader()
	}
}

// interruptStore lets the store be silent for longer than a grant and kills the leader
// before it responds again.
func (s *relayFixture) interruptStore() {
	asserter.NoError(s.t, s.store.SetFaults(s.ctx, imitator.StoreFaults{Silent: true}))
	<-time.After(2 * settleTime)
	s.killAndRestartLeader()
	asserter.NoError(s.t, s.store.SetFaults(s.ctx, imitator.StoreFaults{}))
}

// killAndRestartLeader kills the leader's process and starts it again.
func (s *relayFixture) killAndRestartLeader() {
	leader, _ := s.newestLeader()
	s.processes[leader].Kill()
	s.startVM(leader)
}
