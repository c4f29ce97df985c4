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
	adapterSettled struct {
		intent stager.PlannedOrder
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
	orderAnswered struct {
		err     error
		expect  int64
		intent  stager.PlannedOrder
		outcome buckthorndyke.ModelOrderOutcome
	}

	// predecessorAnswered brings what the previous leader says of itself.
	predecessorAnswered struct {
		err   error
		fence int64
		said  buckthorndyke.YieldReply
	}

	// yieldAsked asks the VM to stop leading.
	yieldAsked struct {
		fence int64
		reply mailer.Reply[buckthorndyke.YieldReply]
	}

	// runnerReported brings a runner's report.
	runnerReported struct {
		err    error
		report buckthorndyke.BackendReport
		runner buckthorndyke.RunnerID
	}
)

func (m adapterSettled) apply(t *task) {
	t.floor = t.floor.WithDone(m.intent, t.clock.Now())
	t.changed = true
}
func (m demandReported) apply(t *task) { t.takeDemand(m) }
func (m orderAnswered) apply(t *task)  { t.takeAnswer(m) }
func (m predecessorAnswered) apply(t *task) {
	t.takePredecessor(m)
}
func (m yieldAsked) apply(t *task)     { t.yield(m) }
func (m runnerReported) apply(t *task) { t.takeReport(m) }
