package dispatcher

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/selector"
	"github.com/buckthorndyke/buckthorndyke/sequencer"
)

// message is a message to the task.
type message interface {
	apply(t *task)
}

// question is a message whose sender waits for a reply.
type question interface {
	message
	// abandon replies that the task has failed while it handled the message.
	abandon()
}

// Results of an attempt.
const (
	// resultServed means that the server served the request.
	resultServed result = iota
	// resultModelMissing means that the runner has not loaded the model.
	resultModelMissing
	// resultFailed means that there was no complete and signed response.
	resultFailed
	// resultServerError means that the server responded with a server error or was too
	// slow.
	resultServerError
	// resultBusy means that the runner has no free slot.
	resultBusy
	// resultNeutral does not change what is known about the server.
	resultNeutral
)

// result is what an attempt shows about its server.
type result uint8

// admission is the reply to admissionRequested: a server or an error.
type admission struct {
	backend buckthorndyke.Backend
	err     error
	// lost is set if the run of the task that had the request has failed, and the request
	// still has to be assigned a server.
	lost bool
	// load is what the request adds to the load of the server.
	load selector.Load
	// sent describes the request at the server.
	sent selector.Sent
	// expected is the instant at which the model is expected to be loaded, or 0.
	expected buckthorndyke.Millis
	// final is set if the error already says when to retry.
	final bool
	// yields is set if the server should read the prompt after shorter ones.
	yields bool
}

type (
	// admissionRequested asks the task for a server.
	admissionRequested struct {
		// forecast is the prediction of the wait at its beginning.
		forecast sequencer.Forecast
		job      *job
		// limits determines how long the request may wait.
		limits waitLimits
		load   selector.Load
		query  selector.Query
		// queuedAt is the instant at which the request began to wait.
		queuedAt buckthorndyke.Millis
		reply    mailer.Reply[admission]
		// retry is set if the request was sent to a server before.
		retry bool
	}

	// admissionCancelled says that a request no longer waits for a server.
	admissionCancelled struct {
		job *job
		// reply is the one that the request waited for. The task may have answered it.
		reply mailer.Reply[admission]
	}

	// attemptBegun reports the first event of a server's response.
	attemptBegun struct {
		// isWhole is set if the server has read the whole prompt and resumes no stream.
		isWhole bool
		sent    selector.Sent
		// took is the time since the request was sent.
		took buckthorndyke.Millis
		// unread is the number of tokens that the server has read by now.
		unread int
	}

	// attemptEnded reports the result of an attempt.
	attemptEnded struct {
		backend buckthorndyke.Backend
		// begun is set if the server has begun to answer.
		begun bool
		// broken is set if the connection broke before the server had begun to answer.
		broken bool
		// duration is how long the attempt took.
		duration     buckthorndyke.Millis
		fingerprints []buckthorndyke.Fingerprint
		// first is the time from the attempt's start to the first event or the response, or
		// 0 if there was none.
		first  buckthorndyke.Millis
		key    buckthorndyke.ModelKey
		load   selector.Load
		result result
		// route is the name of the request's route.
		route string
		sent  selector.Sent
	}

	// chargeEnded says that a request whose caller is known has ended.
	chargeEnded struct {
		job *job
		// ran is set if a server may have run the request.
		ran bool
	}

	// crashChecked reports whether a server whose connections broke has ended.
	crashChecked struct {
		backend buckthorndyke.Backend
		ended   bool
		err     error
	}

	// crashesRequested asks for the evidence of crashes.
	crashesRequested struct {
		reply mailer.Reply[crashesReply]
	}

	// crashesReply is the reply to crashesRequested.
	crashesReply struct {
		err       error
		evidence  buckthorndyke.CrashEvidence
		hasLeader bool
	}

	// crashesShared passes on the evidence of another VM.
	crashesShared struct {
		evidence buckthorndyke.CrashEvidence
	}

	// demandRequested asks for the demand since the previous report.
	demandRequested struct {
		// recent is set if all recent arrivals are to be reported, also those that were
		// reported before.
		recent bool
		reply  mailer.Reply[demandReply]
	}

	// demandReply is the reply to demandRequested.
	demandReply struct {
		err    error
		report buckthorndyke.DemandReport
	}

	// drainStarted says that the VM is stopping.
	drainStarted struct {
		drain drain
	}

	// leaderReplied passes on the leader's reply to a demand report.
	leaderReplied struct {
		reply buckthorndyke.DemandReply
	}

	// leaderUnavailable says that no leader replies.
	leaderUnavailable struct{}

	// serverTold passes on what a server has said of itself in a response.
	serverTold struct {
		backend buckthorndyke.Backend
		// leaving is set if the server is shutting down.
		leaving bool
		// pausedUntil is the instant until which the server wants no requests, or 0.
		pausedUntil buckthorndyke.Millis
	}

	// serverSilent says that a server has not responded to a request within the silence
	// limit.
	serverSilent struct {
		server buckthorndyke.RunnerID
	}
)

func (m admissionRequested) apply(t *task) { t.admit(m) }
func (m admissionCancelled) apply(t *task) { t.cancelAdmission(m) }
func (m attemptBegun) apply(t *task)       { t.noteFirstEvent(m) }
func (m attemptEnded) apply(t *task)       { t.endAttempt(m) }
func (m chargeEnded) apply(t *task)        { t.endCharge(m) }
func (m crashChecked) apply(t *task)       { t.handleCrashCheck(m) }
func (m crashesRequested) apply(t *task) {
	m.reply.Answer(crashesReply{evidence: t.crashes.Since(0, t.clock.Now()), hasLeader: t.hasLeader})
}
func (m crashesShared) apply(t *task)   { t.addCrashEvidence(m.evidence) }
func (m demandRequested) apply(t *task) { m.reply.Answer(demandReply{report: t.demand(m.recent)}) }
func (m drainStarted) apply(t *task) {
	t.drain = m.drain
	t.updateLimits()
	t.retryGrants(t.clock.Now(), true)
}
func (m leaderReplied) apply(t *task) { t.applyLeaderReply(m.reply) }
func (m leaderUnavailable) apply(t *task) {
	had := t.hasLeader
	t.hasLeader, t.crashSync = false, crashSync{}
	t.loseAllotments()
	if had {
		t.updateLimits()
	}
}
func (m serverTold) apply(t *task)   { t.handleServerTold(m) }
func (m serverSilent) apply(t *task) { t.view = t.view.WithSlow(m.server, t.clock.Now()) }

// abandon refuses the request: it may be the cause of the failure.
func (m admissionRequested) abandon()    { m.reply.Answer(admission{err: errRestarted, final: true}) }
func (m confirmationRequested) abandon() { m.reply.Answer(m.known) }
func (m crashesRequested) abandon()      { m.reply.Answer(crashesReply{err: errRestarted}) }
func (m demandRequested) abandon()       { m.reply.Answer(demandReply{err: errRestarted}) }
func (m routingRequested) abandon()      { m.reply.Answer(routingState{}) }
