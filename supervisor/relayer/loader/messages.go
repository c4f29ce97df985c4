package loader

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

// message is a message to the task that changes its state.
type message interface {
	apply(t *task)
}

type (
	// demandReported carries the demand of one VM.
	demandReported struct {
		demand buckthorndyke.DemandReport
		// first is set if the VM has not reported to this leader before.
		first bool
		// grants are the grants of callers' allotments for the VM.
		grants []buckthorndyke.AllotmentGrant
		// position is what the reply tells of the leader's record when it made the grants.
		position int64
		reply    mailer.Reply[buckthorndyke.DemandReply]
		vm       buckthorndyke.VMID
	}

	// loadExpected reports that the time has passed that an accepted load takes.
	loadExpected struct {
		order stager.PlannedOrder
	}

	// orderReplied carries a runner's reply to an order.
	orderReplied struct {
		err            error
		expectedOrders int64
		order          stager.PlannedOrder
		outcome        buckthorndyke.ModelOrderOutcome
	}

	// predecessorReplied carries the previous leader's reply to the request to yield.
	predecessorReplied struct {
		err          error
		fencingToken int64
		reply        buckthorndyke.YieldReply
	}

	// reportDue asks for a report of a runner, which should show the end of an order.
	reportDue struct {
		runner buckthorndyke.RunnerID
	}

	// yieldRequested asks the VM to stop leading.
	yieldRequested struct {
		fencingToken int64
		reply        mailer.Reply[buckthorndyke.YieldReply]
	}

	// runnerReported carries a runner's report.
	runnerReported struct {
		err    error
		report buckthorndyke.BackendReport
		runner buckthorndyke.RunnerID
	}
)

func (m demandReported) apply(t *task) { t.handleDemand(m) }
func (m loadExpected) apply(t *task) {
	t.view = t.view.WithPredictedEnd(m.order, t.clock.Now())
	t.changed = true
}
func (m orderReplied) apply(t *task) { t.handleOrderOutcome(m) }
func (m predecessorReplied) apply(t *task) {
	t.handlePredecessor(m)
}
func (m reportDue) apply(t *task)      { t.requestDueReport(m.runner) }
func (m yieldRequested) apply(t *task) { t.yield(m) }
func (m runnerReported) apply(t *task) { t.handleReport(m) }
