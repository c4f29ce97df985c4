package owner

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/owner/steward"
)

// message is a message to an owner's task.
type message interface {
	apply(t *task)
}

// Messages.
type (
	// drainRequested requests that all runners are handed over.
	drainRequested struct {
		reply mailer.Reply[struct{}]
	}

	// promiseRequested asks this VM to promise not to take over a runner.
	promiseRequested struct {
		reply   mailer.Reply[bool]
		request buckthorndyke.PromiseRequest
	}

	// promisesReplied reports whether all successors of a runner have promised.
	promisesReplied struct {
		askedAt  buckthorndyke.Millis
		epoch    buckthorndyke.Offset
		promised bool
		runner   buckthorndyke.RunnerID
	}

	// quiesced reports that a steward has no more requests or orders to finish
	// before its runner is released.
	quiesced struct {
		runner  buckthorndyke.RunnerID
		steward *steward.Steward
	}

	// releaseCompleted reports that the proposal of a ReleaseChange has ended.
	releaseCompleted struct {
		runner buckthorndyke.RunnerID
	}

	// stewardRequested requests the steward of a runner, or nil.
	stewardRequested struct {
		reply  mailer.Reply[*steward.Steward]
		runner buckthorndyke.RunnerID
	}

	// takeCompleted reports the result of a proposed TakeChange.
	takeCompleted struct {
		base   buckthorndyke.Offset
		err    error
		result buckthorndyke.ProposalResult
		runner buckthorndyke.RunnerID
	}

	// vmsListed carries the platform's VM list.
	vmsListed struct {
		err error
		vms []buckthorndyke.VM
	}
)

func (m drainRequested) apply(t *task)   { t.drain(m) }
func (m promiseRequested) apply(t *task) { m.reply.Answer(t.promise(m.request)) }
func (m promisesReplied) apply(t *task)  { t.applyPromises(m) }
func (m quiesced) apply(t *task)         { t.finishQuiesce(m) }
func (m releaseCompleted) apply(t *task) { t.completeRelease(m) }
func (m stewardRequested) apply(t *task) { m.reply.Answer(t.stewardOf(m.runner)) }
func (m takeCompleted) apply(t *task)    { t.completeTake(m) }
func (m vmsListed) apply(t *task)        { t.listVMs(m) }
