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
	// adapterLoaded reports that an order for an adapter has been carried out.
	adapterLoaded struct {
		order stager.PlannedOrder
	}

	// demandReported carries the demand of one VM.
	demandReported struct {
		demand buckthorndyke.DemandReport
		// first is set if the VM has not reported to this leader before.
		first bool
		// grants are the grants of callers' allotments for the VM.
		grants []buckthorndyke.AllotmentGrant
		reply  mailer.Reply[buckthorndyke.DemandReply]
		vm     buckthorndyke.VMID
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

func (m adapterLoaded) apply(t *task) {
	t.view = t.view.WithDone(m.order, t.clock.Now())
	t.changed = true
}
func (m demandReported) apply(t *task) { t.handleDemand(m) }
func (m orderReplied) apply(t *task)   { t.handleOrderOutcome(m) }
func (m predecessorReplied) apply(t *task) {
	t.handlePredecessor(m)
}
func (m yieldRequested) apply(t *task) { t.yield(m) }
func (m runnerReported) apply(t *task) { t.handleReport(m) }
