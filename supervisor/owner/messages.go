package owner

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/owner/steward"
)

// message is sent to an owner's task.
type message interface {
	apply(t *task)
}

// Messages.
type (
	// drain asks for an orderly end.
	drain struct {
		reply mailer.Reply[struct{}]
	}

	// promiseAsked asks this VM to leave a runner alone.
	promiseAsked struct {
		reply   mailer.Reply[bool]
		request buckthorndyke.PromiseRequest
	}

	// promisesAnswered reports whether all successors of a runner have promised.
	promisesAnswered struct {
		asked  buckthorndyke.Millis
		epoch  buckthorndyke.Offset
		given  bool
		runner buckthorndyke.RunnerID
	}

	// quiesced reports that a steward has finished its requests.
	quiesced struct {
		runner  buckthorndyke.RunnerID
		steward *steward.Steward
	}

	// releaseSettled reports how a ReleaseChange was ruled on.
	releaseSettled struct {
		runner buckthorndyke.RunnerID
	}

	// stewardAsked asks for the steward of a runner, or nil.
	stewardAsked struct {
		reply  mailer.Reply[*steward.Steward]
		runner buckthorndyke.RunnerID
	}

	// takeSettled reports how a TakeChange was ruled on.
	takeSettled struct {
		base   buckthorndyke.Offset
		err    error
		ruling buckthorndyke.ProposalResult
		runner buckthorndyke.RunnerID
	}

	// vmsListed carries the platform's VM list.
	vmsListed struct {
		err error
		vms []buckthorndyke.VM
	}
)

func (m drain) apply(t *task)            { t.drain(m) }
func (m promiseAsked) apply(t *task)     { m.reply.Answer(t.promise(m.request)) }
func (m promisesAnswered) apply(t *task) { t.answerPromises(m) }
func (m quiesced) apply(t *task)         { t.finishQuiesce(m) }
func (m releaseSettled) apply(t *task)   { t.settleRelease(m) }
func (m stewardAsked) apply(t *task)     { m.reply.Answer(t.stewardOf(m.runner)) }
func (m takeSettled) apply(t *task)      { t.settleTake(m) }
func (m vmsListed) apply(t *task)        { t.listVMs(m) }
