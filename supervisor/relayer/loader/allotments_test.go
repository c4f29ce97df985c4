package loader_test

import (
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/apportioner"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/loader"
)

const limited = buckthorndyke.CallerID("limited")

var allotmentBounds = buckthorndyke.AllotmentBounds{Overage: 0.1, Window: 8 * buckthorndyke.Second}

// withAllotment runs test with a loader whose configuration has a caller that may use 1000
// a second.
func withAllotment(t *testing.T, test func(f *fixture)) {
	t.Helper()
	withFixture(t, func(f *fixture) {
		f.setAllotment()
		test(f)
	}, loader.WithAllotmentBounds(allotmentBounds))
}

func (f *fixture) setAllotment() {
	f.t.Helper()
	callers := buckthorndyke.NewCallers().WithCaller(buckthorndyke.Caller{
		Allotment: buckthorndyke.Allotment{Burst: 1000, PerSecond: 1000}, ID: limited,
	})
	asserter.NoError(f.t, f.feeds.Routings.Publish(f.ctx, buckthorndyke.Routing{Callers: callers, Version: 2}))
	synctest.Wait()
}

// reportUse reports that requests of the caller wait for an amount, and that a request waits
// for a model that is not loaded.
func (f *fixture) reportUse(number uint64, waiting float64) buckthorndyke.DemandReply {
	f.t.Helper()
	reply, err := f.loader.Report(f.ctx, "vm-2", buckthorndyke.DemandReport{
		Allotments:  []buckthorndyke.AllotmentUse{{Asked: waiting, Caller: limited, Waiting: waiting}},
		Entries:     []buckthorndyke.DemandEntry{{Key: hallKey, TimeLeft: buckthorndyke.Second, Waiting: 1}},
		Incarnation: 1, Number: number, Waiting: true,
	})
	asserter.NoError(f.t, err)
	return reply
}

func TestAllotments(t *testing.T) {
	t.Run("a report that waits for a grant is replied to at once", func(t *testing.T) {
		withAllotment(t, func(f *fixture) {
			f.startTerm(7)
			f.wait(2 * buckthorndyke.Second)
			f.reportUse(1, 0)
			begin := f.clock.Now()
			reply := f.reportUse(2, 500)
			asserter.Equal(t, f.clock.Now()-begin, 0)
			asserter.Equal(t, len(reply.Allotments), 1)
			asserter.True(t, reply.Allotments[0].Limit >= 500, "the request that waits gets no grant")
		})
	})
	t.Run("the reply to a report that waits for a model alone is held back with its grants", func(t *testing.T) {
		withAllotment(t, func(f *fixture) {
			f.startTerm(7)
			f.wait(2 * buckthorndyke.Second)
			f.reportUse(1, 500)
			begin := f.clock.Now()
			reply := f.reportUse(2, 0)
			asserter.True(t, f.clock.Now() > begin, "the reply is not held back")
			asserter.Equal(t, len(reply.Allotments), 1)
		})
	})
	t.Run("a refusal is told at once", func(t *testing.T) {
		withAllotment(t, func(f *fixture) {
			f.startTerm(7)
			f.wait(2 * buckthorndyke.Second)
			f.reportUse(1, 0)
			begin := f.clock.Now()
			reply := f.reportUse(2, 50_000)
			asserter.Equal(t, f.clock.Now()-begin, 0)
			asserter.True(t, reply.Allotments[0].RoomIn > 40*buckthorndyke.Second, "the time until there is room is missing")
		})
	})
	t.Run("a VM that does not lead grants nothing", func(t *testing.T) {
		withAllotment(t, func(f *fixture) {
			asserter.Equal(t, len(f.reportUse(1, 500).Allotments), 0)
		})
	})
	t.Run("a leader that cannot renew its grant to lead grants nothing", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.setAllotment()
			f.startTermFor(7, 3*buckthorndyke.Second)
			f.wait(2 * buckthorndyke.Second)
			asserter.Equal(t, len(f.reportUse(1, 500).Allotments), 1)
			f.wait(2 * buckthorndyke.Second)
			reply := f.reportUse(2, 500)
			asserter.True(t, reply.Leading, "the VM no longer leads")
			asserter.Equal(t, len(reply.Allotments), 0)
		}, loader.WithAllotmentBounds(allotmentBounds), loader.WithFencingTokenChecks(true))
	})
	// Guards against VMs that take a leader for one that knows what all VMs hold before it does.
	t.Run("the reply tells the leader's position once the leader has waited for shares", func(t *testing.T) {
		withAllotment(t, func(f *fixture) {
			term := buckthorndyke.Term{FencingToken: 7, Leading: true, Position: 7, Until: f.clock.Now() + buckthorndyke.Hour}
			asserter.NoError(t, f.feeds.Terms.Publish(f.ctx, term))
			synctest.Wait()
			asserter.Equal(t, f.reportUse(1, 500).LeaderPosition, apportioner.UnsettledPosition)
			f.wait(2 * buckthorndyke.Second)
			term.Position = 9
			asserter.NoError(t, f.feeds.Terms.Publish(f.ctx, term))
			synctest.Wait()
			asserter.Equal(t, f.reportUse(2, 500).LeaderPosition, 9)
		})
	})
	t.Run("nothing is granted where no caller has an allotment", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.startTerm(7)
			asserter.Equal(t, len(f.reportUse(1, 500).Allotments), 0)
		})
	})
}
