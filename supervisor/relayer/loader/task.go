package loader

import (
	"context"
	"math"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/apportioner"
	"github.com/buckthorndyke/buckthorndyke/assessor"
	"github.com/buckthorndyke/buckthorndyke/quarantiner"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

const (
	// orderMargin is how long before the end of its grant a leader stops sending
	// orders, so that none is in transit when the next leader begins.
	orderMargin = 300 * buckthorndyke.Millisecond
	// outageLimit is how long a leader that cannot renew its grant goes on, if the
	// runners check fencing tokens.
	outageLimit = 30 * buckthorndyke.Second
	// pollInterval is the time between two requests for the report of a runner with
	// an outstanding order.
	pollInterval = 120 * buckthorndyke.Millisecond
	// yieldTimeout bounds the call to the previous leader.
	yieldTimeout = 300 * buckthorndyke.Millisecond
	// planInterval is the shortest time between two plans. The cost of a plan grows
	// with the number of VMs and runners, and so does the number of messages, each of
	// which could start a plan.
	planInterval = 30 * buckthorndyke.Millisecond
	// planIntervalFactor is the shortest time between two plans as a multiple of the
	// time that a plan takes, so that a slow VM has time left for the calls of other
	// VMs.
	planIntervalFactor = 5
	// crowdingInterval and crowdingIntervalFactor, a multiple of the time that a search
	// takes, are the shortest time between two searches for crowded runners. VMs report
	// less often.
	crowdingInterval       = 250 * buckthorndyke.Millisecond
	crowdingIntervalFactor = 50
	// maxReportCalls bounds the concurrent requests of a survey for the reports of
	// runners. A new leader needs the reports of all runners.
	maxReportCalls = 16
	// surveyInterval is the time between two requests for the reports of the other
	// runners whose state is unclear.
	surveyInterval = 400 * buckthorndyke.Millisecond
)

// task is the state of one run of a loader. Only its goroutine accesses it.
type task struct {
	*Loader
	// assessment counts the attempts of all VMs at servers.
	assessment assessor.Assessment
	// changed is set if runners may have loaded more models since the last check of
	// the held reports.
	changed bool
	// crowded is the number of crowded runners.
	crowded int
	// crowdingAt is the instant at which crowded runners are looked for next.
	crowdingAt buckthorndyke.Millis
	// crashes is the evidence of crashes of all VMs.
	crashes quarantiner.Evidence
	// fencedToken is the highest fencing token of this VM that was refused or given
	// up.
	fencedToken int64
	// held are the demand reports without a reply yet.
	held []heldReport
	// index is the index of the runners as of the last reply.
	index stager.Index
	// lastOrderAt is the instant of the last order, or 0.
	lastOrderAt buckthorndyke.Millis
	// ledger records what VMs hold of callers' allotments.
	ledger apportioner.Ledger
	// listChanges holds the differences from earlier lists to the newest one that VMs have
	// been sent, by the version tag of the earlier list.
	listChanges map[uint64]*buckthorndyke.ListChange
	// lists are the latest lists of servers.
	lists history
	// nextPlanAt is the instant of the next plan.
	nextPlanAt buckthorndyke.Millis
	// ordersFrom is the instant from which the VM may send orders.
	ordersFrom buckthorndyke.Millis
	// polledAt is the instant of the last poll of the runners with an outstanding
	// order.
	polledAt buckthorndyke.Millis
	// polling holds the runners whose report has been requested.
	polling map[buckthorndyke.RunnerID]bool
	// repliedAt holds the instant of the last reply to each VM.
	repliedAt map[buckthorndyke.VMID]buckthorndyke.Millis
	runCtx    context.Context
	// seenList and seenRouting are the versions of the platform's records that this
	// VM has read last.
	seenList, seenRouting buckthorndyke.SeenVersion
	// serverLoads are the requests that the VMs have in flight at servers.
	serverLoads stager.ServerLoads
	// survey holds the runners whose state is unclear and whose reports are requested next.
	survey []buckthorndyke.RunnerID
	// surveyedAt is the instant of the last poll of the other runners whose state is
	// unclear.
	surveyedAt buckthorndyke.Millis
	term       buckthorndyke.Term
	view       stager.View
}

// askPredecessor asks the previous leader to yield and when it sent its last order.
func (t *task) askPredecessor(address string, fencingToken int64) {
	go func() {
		ctx, cancel := context.WithTimeout(t.runCtx, yieldTimeout.Duration())
		defer cancel()
		reply, err := t.leaders.Yield(ctx, address, fencingToken)
		_ = t.box.Send(t.runCtx, predecessorReplied{err: err, fencingToken: fencingToken, reply: reply})
	}()
}

// changeTerm applies the VM's new term. If it makes the VM the leader, the first
// order is delayed while a previous leader may still be active. A term that follows one of
// this VM whose grant has not expired, as after a restore of the store, delays no order: no
// other VM can have led in between.
func (t *task) changeTerm(term buckthorndyke.Term) {
	if term.Leading && (!t.term.Leading || term.FencingToken != t.term.FencingToken) {
		now := t.clock.Now()
		t.view = t.view.WithTerm(now)
		t.ledger = t.ledger.WithTerm(term, now)
		clear(t.repliedAt)
		continues := t.term.Leading && now < t.term.Until && term.PreviousLeader == ""
		switch {
		case continues:
		case term.PreviousLeader != "" || !t.checksFencingTokens:
			t.ordersFrom = now + t.lease
		default:
			t.ordersFrom = now
		}
		if term.PreviousLeader != "" {
			t.askPredecessor(term.PreviousLeader, term.FencingToken)
		}
	}
	t.term = term
}

// expectEnd treats an accepted order as carried out after the time that its load is
// expected to take: the runner's reports lag behind by far more. It requests a report as
// soon as one can show the end of the order.
func (t *task) expectEnd(order stager.PlannedOrder) {
	takes, predicted := t.view.PredictedTime(order)
	go func() {
		if predicted && !t.sendAfter(takes, loadExpected{order: order}) {
			return
		}
		if order.Adapter == "" {
			t.sendAfter(stager.ReportAge, reportDue{runner: order.Runner})
		}
	}()
}

// sendAfter sends m to the task after d. It returns false if the run ends before.
func (t *task) sendAfter(d buckthorndyke.Millis, m message) bool {
	select {
	case <-t.runCtx.Done():
		return false
	case <-t.clock.After(d):
		return t.box.Send(t.runCtx, m) == nil
	}
}

// findCrowding looks for runners whose batch a single model needs, if that is due.
func (t *task) findCrowding(now buckthorndyke.Millis) {
	if !t.leads(now) || now < t.crowdingAt {
		return
	}
	t.view = t.view.WithCrowding(now)
	if n := t.view.CrowdedRunners(); n != t.crowded {
		t.crowded = n
		t.logger.Info().EmbedObject(reporter.EventRunnersCrowded).Int("runners", n).Send()
		if t.meter != nil {
			t.meter.Set(buckthorndyke.MetricCrowdedRunners, int64(n))
		}
	}
	took := t.clock.Now() - now
	t.crowdingAt = now + max(crowdingInterval, took*crowdingIntervalFactor)
}

// handleOrderOutcome applies a runner's reply to an order.
func (t *task) handleOrderOutcome(m orderReplied) {
	now := t.clock.Now()
	t.changed = true
	t.logger.Info().EmbedObject(reporter.EventOrderEnded).Str("runner", string(m.order.Runner)).
		Str("kind", string(m.order.Kind)).Str("model", string(m.order.Model)).Str("adapter", m.order.Adapter).
		Str("outcome", string(m.outcome)).Err(m.err).Send()
	switch m.outcome {
	case buckthorndyke.ModelOrderAccepted:
		t.view = t.view.WithAccepted(m.order.Runner, m.expectedOrders+1)
		t.expectEnd(m.order)
		if t.earlyLoads {
			t.view = t.view.WithEarlyUnload(m.order, now)
		}
	case buckthorndyke.ModelOrderDone:
		if m.order.Adapter != "" && m.order.Kind == buckthorndyke.OrderUnload {
			t.view = t.view.WithAccepted(m.order.Runner, m.expectedOrders+1)
		}
		t.view = t.view.WithDone(m.order, now)
	case buckthorndyke.ModelOrderFenced:
		t.view = t.view.WithFailed(m.order, now)
		t.fencedToken = t.term.FencingToken
	case buckthorndyke.ModelOrderRefused:
		t.view = t.view.WithFailed(m.order, now)
		t.requestReport(m.order.Runner)
	}
}

// handlePredecessor applies the previous leader's reply. If the runners check fencing
// tokens, this leader does not wait for one that has not replied or whose grant has
// expired: runners refuse its orders.
func (t *task) handlePredecessor(m predecessorReplied) {
	if m.fencingToken != t.term.FencingToken {
		return
	}
	now := t.clock.Now()
	switch {
	case t.term.PreviousUncertain && !t.checksFencingTokens:
		// Another VM may have sent the last order.
	case m.err == nil && m.reply.SinceLastOrder == buckthorndyke.NeverOrdered:
		t.ordersFrom = now
	case t.checksFencingTokens && (m.err != nil || !m.reply.GrantValid):
		t.ordersFrom = now
	case m.err == nil:
		t.ordersFrom = now + max(t.lease-m.reply.SinceLastOrder, 0)
	}
	t.logger.Info().EmbedObject(reporter.EventTermChanged).Bool("leading", true).Int64("fence", m.fencingToken).
		Int64("order-in-ms", int64(t.ordersFrom-now)).Err(m.err).Send()
}

// handleReport applies a runner's report.
func (t *task) handleReport(m runnerReported) {
	delete(t.polling, m.runner)
	defer t.continueSurvey()
	if m.err != nil {
		if t.view.Unresponsive(m.runner) {
			return
		}
		t.view = t.view.WithReportFailure(m.runner)
		t.logger.Info().EmbedObject(reporter.EventOrderEnded).Str("runner", string(m.runner)).Str("outcome", "no-report").
			Err(m.err).Send()
		return
	}
	refuted, wrong := t.view.EarlyLoadsRefuted(), t.view.WrongPredictions()
	t.view = t.view.WithReport(m.report, t.clock.Now())
	if t.view.WrongPredictions() > wrong {
		t.logger.Info().EmbedObject(reporter.EventOrderEnded).Str("runner", string(m.runner)).Str("outcome", "not-complete").Send()
		if t.meter != nil {
			t.meter.Count(buckthorndyke.MetricWrongLoadEnds, 1)
		}
	}
	if t.view.EarlyLoadsRefuted() && !refuted {
		t.logger.Warn().EmbedObject(reporter.EventOrderEnded).Str("runner", string(m.runner)).Str("outcome", "early-loads-refuted").Send()
	}
	t.changed = true
}

// leads reports whether the VM leads. If the runners check fencing tokens, a leader
// that cannot renew its grant goes on: a successor asks it to yield, and runners that
// have received an order of a successor refuse its own.
func (t *task) leads(now buckthorndyke.Millis) bool {
	return t.term.Leading && now < t.grantUntil() && t.term.FencingToken > t.fencedToken
}

// grantUntil returns the instant until which the VM may lead without another renewal of
// its grant.
func (t *task) grantUntil() buckthorndyke.Millis {
	if t.checksFencingTokens {
		return t.term.Until + outageLimit
	}
	return t.term.Until
}

// mayOrder reports whether the VM may send orders: it leads, its grant is valid, and
// the lease of a previous leader has ended.
func (t *task) mayOrder(now buckthorndyke.Millis) bool {
	return t.leads(now+orderMargin) && now >= t.ordersFrom
}

// poll requests the reports of the runners with an outstanding order or with a load that
// no report confirms yet, and, less often, of the others whose state is unclear.
func (t *task) poll(now buckthorndyke.Millis) {
	if now < t.polledAt+pollInterval {
		return
	}
	t.polledAt = now
	for id, sent := range t.view.PendingOrders() {
		if now < sent+pollInterval {
			continue
		}
		t.requestReport(id)
	}
	for _, id := range t.view.Unconfirmed(now) {
		t.requestReport(id)
	}
	if now < t.surveyedAt+surveyInterval || len(t.survey) > 0 {
		return
	}
	t.surveyedAt = now
	t.survey = t.view.RunnersToPoll()
	t.continueSurvey()
}

// continueSurvey requests the reports of the next runners of the survey.
func (t *task) continueSurvey() {
	for len(t.survey) > 0 && len(t.polling) < maxReportCalls {
		t.requestReport(t.survey[0])
		t.survey = t.survey[1:]
	}
}

// requestReport requests a runner's report, unless a request is already in flight.
func (t *task) requestReport(id buckthorndyke.RunnerID) {
	backend, ok := t.view.Backend(id)
	if !ok || t.polling[id] {
		return
	}
	t.polling[id] = true
	go func() {
		report, err := t.pool.Report(t.runCtx, backend)
		_ = t.box.Send(t.runCtx, runnerReported{err: err, report: report, runner: id})
	}()
}

// requestDueReport requests the report of a runner whose order should have ended, unless
// the report has shown it already.
func (t *task) requestDueReport(id buckthorndyke.RunnerID) {
	if t.mayOrder(t.clock.Now()) && t.view.AwaitsReport(id) {
		t.requestReport(id)
	}
}

// rounded returns a number of requests per second as it is logged.
func rounded(value float64) float64 { return math.Round(value*100) / 100 }

// run handles messages until ctx ends.
func (t *task) run(ctx context.Context) error {
	routings := t.feeds.Routings.Subscribe(ctx)
	lists := t.feeds.Lists.Subscribe(ctx)
	seenList, seenRouting := t.feeds.SeenList.Subscribe(ctx), t.feeds.SeenRouting.Subscribe(ctx)
	terms, fullSpeedLoads := t.feeds.Terms.Subscribe(ctx), t.feeds.FullSpeedLoads.Subscribe(ctx)
	for {
		wait := buckthorndyke.Minute
		if t.term.Leading {
			wait = planInterval
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.box.Receive():
			m.apply(t)
		case r := <-routings:
			t.view = t.view.WithRouting(r)
			t.ledger = t.ledger.WithCallers(r.Callers)
		case l := <-lists:
			t.lists = t.lists.with(l)
			clear(t.listChanges)
			t.assessment = t.assessment.WithoutUnlisted(l)
			t.view = t.view.WithBackends(l, t.clock.Now())
			t.changed = true
		case t.seenList = <-seenList:
			clear(t.listChanges)
		case t.seenRouting = <-seenRouting:
		case term := <-terms:
			t.changeTerm(term)
		case n := <-fullSpeedLoads:
			if !t.term.Leading {
				t.view = t.view.WithFullSpeedLoads(n)
			}
		case <-t.clock.After(wait):
		}
		t.step(t.clock.Now())
	}
}

// sendOrder sends an order to its runner.
func (t *task) sendOrder(order stager.PlannedOrder) {
	backend, ok := t.view.Backend(order.Runner)
	if !ok {
		return
	}
	orders, known := t.view.AcceptedOrders(order.Runner)
	if !known {
		t.requestReport(order.Runner)
		return
	}
	now := t.clock.Now()
	t.view = t.view.WithOrder(order, now)
	t.lastOrderAt = now
	sent := buckthorndyke.ModelOrder{
		Adapter: order.Adapter, Backend: backend, ExpectedOrders: orders, FencingToken: t.term.FencingToken, Kind: order.Kind,
		Leader: t.self.VM, Model: order.Model, SendUntil: t.grantUntil() - orderMargin,
	}
	t.logger.Info().EmbedObject(reporter.EventOrderSent).Str("runner", string(order.Runner)).Str("kind", string(order.Kind)).
		Str("model", string(order.Model)).Str("adapter", order.Adapter).Int64("expect", sent.ExpectedOrders).Int64("fence", sent.FencingToken).
		Str("tier", order.Tier.String()).Str("goal", string(order.TargetModel)).
		Any("holdings", backend.LoadedModels).Str("reason", string(order.Reason)).
		Float64("worth", rounded(order.Value)).Float64("eviction-cost", rounded(order.EvictionCost)).Send()
	if t.meter != nil {
		t.meter.Count(buckthorndyke.MetricOrderReasons.Of(string(order.Kind)).Of(string(order.Reason)), 1)
	}
	go func() {
		outcome, err := t.pool.Order(t.runCtx, sent)
		_ = t.box.Send(t.runCtx, orderReplied{err: err, expectedOrders: sent.ExpectedOrders, order: order, outcome: outcome})
	}()
}

// sinceLastOrder returns the time since the VM's last order. While the VM still waits
// for the end of the previous leader's lease, it returns the time since that leader's
// last order.
func (t *task) sinceLastOrder(now buckthorndyke.Millis) buckthorndyke.Millis {
	switch {
	case now < t.ordersFrom:
		return max(t.lease-(t.ordersFrom-now), 0)
	case t.lastOrderAt > 0:
		return now - t.lastOrderAt
	default:
		return buckthorndyke.NeverOrdered
	}
}

// step plans and sends orders, polls runners and sends replies, as far as they are
// due at now.
func (t *task) step(now buckthorndyke.Millis) {
	if t.mayOrder(now) && now >= t.nextPlanAt {
		t.view = t.view.WithSlowLoads(now)
		for _, order := range t.view.Plan(now) {
			t.sendOrder(order)
		}
		t.poll(now)
		took := t.clock.Now() - now
		t.nextPlanAt = now + max(planInterval, took*planIntervalFactor)
	}
	t.findCrowding(now)
	t.replyToHeld(now)
}

// yield stops leading if the successor has a higher fencing token.
func (t *task) yield(m yieldRequested) {
	if m.fencingToken > t.term.FencingToken {
		t.fencedToken = max(t.fencedToken, t.term.FencingToken)
	}
	now := t.clock.Now()
	m.reply.Answer(buckthorndyke.YieldReply{GrantValid: now < t.term.Until, SinceLastOrder: t.sinceLastOrder(now)})
}
