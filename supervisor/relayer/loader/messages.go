package loader

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

// message changes the task's state.
type message interface {
	apply(t *task)
}

type (
	// adapterSettled says that an order for an adapter has been carried out.
	adapterLoaded struct {
		order stager.PlannedOrder
	}

	// demandReported brings the demand of one VM.
	demandReported struct {
		demand buckthorndyke.DemandReport
		// first is set if the VM has not reported to this leader before.
		first bool
		reply mailer.Reply[buckthorndyke.DemandReply]
		vm    buckthorndyke.VMID
	}

	// orderAnswered brings a runner's answer to an order.
	orderReplied struct {
		err            error
		expectedOrders int64
		order          stager.PlannedOrder
		outcome        buckthorndyke.ModelOrderOutcome
	}

	// predecessorAnswered brings what the previous leader says of itself.
	predecessorReplied struct {
		err          error
		fencingToken int64
		reply        buckthorndyke.YieldReply
	}

	// yieldAsked asks the VM to stop leading.
	yieldRequested struct {
		fencingToken int64
		reply        mailer.Reply[buckthorndyke.YieldReply]
	}

	// runnerReported brings a runner's report.
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
