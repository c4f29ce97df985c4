package loader

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/assessor"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

const (
	// adapterTime is how long an adapter takes to be loaded, from the deployments'
	// sheets: 10 ms, and some for the way.
	adapterLoadTime = 14 * buckthorndyke.Millisecond
	// orderMargin is how long before the end of its grant a leader stops giving
	// orders, so that none is on its way when the next leader begins.
	orderMargin = 300 * buckthorndyke.Millisecond
	// outageLimit is how long a leader goes on whose grant cannot be renewed, where
	// runners check fencing numbers.
	outageLimit = 30 * buckthorndyke.Second
	// pollEvery is the time between two looks at a runner with an outstanding
	// order.
	pollInterval = 120 * buckthorndyke.Millisecond
	// yieldTimeout bounds the question to the previous leader.
	yieldTimeout = 300 * buckthorndyke.Millisecond
	// planEvery is the least time between two plans, whose cost grows with the
	// fleet while messages come from all of it.
	planInterval = 30 * buckthorndyke.Millisecond
	// planRest is how many times as long as a plan the time until the next one is at
	// least, so that a slow VM has time for its peers.
	planIntervalFactor = 5
	// surveyEvery is the time between two looks at runners whose reports are
	// needed.
	surveyInterval = 400 * buckthorndyke.Millisecond
)

// task is the state of one run of a loader. Only its goroutine touches it.
type task struct {
	*Loader
	// assessment is what the VMs' requests have shown of servers.
	assessment assessor.Assessment
	// changed is set if runners may hold more than when the parked reports were last
	// looked at.
	changed bool
	// fenced is the highest fencing number that was refused or given up.
	fencedToken int64
	// parked are the reports of demand that wait for something to change.
	held []heldReport
	// ordered is the instant of the last order, or 0.
	lastOrderAt buckthorndyke.Millis
	// lists are the platform's list of servers and those before it.
	lists history
	// planAt is the instant of the next plan.
	nextPlanAt buckthorndyke.Millis
	// from is the instant from which the VM may give orders.
	ordersFrom buckthorndyke.Millis
	// polled is the instant of the last look at the runners.
	polledAt buckthorndyke.Millis
	// polling holds the runners whose report was asked for.
	polling map[buckthorndyke.RunnerID]bool
	// told holds when each VM was last answered.
	repliedAt map[buckthorndyke.VMID]buckthorndyke.Millis
	runCtx    context.Context
	// seenList and seenRouting are what this VM has read last.
	seenList, seenRouting buckthorndyke.SeenVersion
	// loads are the requests that the VMs have at servers.
	serverLoads stager.ServerLoads
	// surveyed is the instant of the last look at runners without a report.
	surveyedAt buckthorndyke.Millis
	term       buckthorndyke.Term
	view       stager.View
}

// askPredecessor asks the previous leader when it gave its last order.
func (t *task) askPredecessor(address string, fencingToken int64) {
	go func() {
		ctx, cancel := context.WithTimeout(t.runCtx, yieldTimeout.Duration())
		defer cancel()
		reply, err := t.leaders.Yield(ctx, address, fencingToken)
		_ = t.box.Send(t.runCtx, predecessorReplied{err: err, fencingToken: fencingToken, reply: reply})
	}()
}

// changeTerm takes over the VM's standing.
func (t *task) changeTerm(term buckthorndyke.Term) {
	if term.Leading && (!t.term.Leading || term.FencingToken != t.term.FencingToken) {
		now := t.clock.Now()
		t.view = t.view.WithTerm(now)
		clear(t.repliedAt)
		t.ordersFrom = now
		if term.PreviousLeader != "" || !t.checksFencingTokens {
			t.ordersFrom = now + t.lease
		}
		if term.PreviousLeader != "" {
			t.askPredecessor(term.PreviousLeader, term.FencingToken)
		}
	}
	t.term = term
}

// settleAdapter holds an accepted order for an adapter to be carried out after
// the time that this takes: the runner's reports lag behind by far more.
func (t *task) completeAdapterOrder(order stager.PlannedOrder) {
	go func() {
		select {
		case <-t.runCtx.Done():
		case <-t.clock.After(adapterLoadTime):
			_ = t.box.Send(t.runCtx, adapterLoaded{order: order})
		}
	}()
}

// takeAnswer takes over a runner's answer to an order.
func (t *task) handleOrderOutcome(m orderReplied) {
	now := t.clock.Now()
	t.changed = true
	t.logger.Info().EmbedObject(reporter.EventOrderEnded).Str("runner", string(m.order.Runner)).
		Str("kind", string(m.order.Kind)).Str("model", string(m.order.Model)).Str("adapter", m.order.Adapter).
		Str("outcome", string(m.outcome)).Err(m.err).Send()
	switch m.outcome {
	case buckthorndyke.ModelOrderAccepted:
		t.view = t.view.WithAccepted(m.order.Runner, m.expectedOrders+1)
		if m.order.Adapter != "" && m.order.Kind == buckthorndyke.OrderLoad {
			// An accepted unload waits for the adapter's requests: only a report shows
			// its end.
			t.completeAdapterOrder(m.order)
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

// takePredecessor takes over what the previous leader said. One that does not
// answer, or that the platform does not renew, need not be waited for where
// runners check fencing numbers: they refuse its orders.
func (t *task) handlePredecessor(m predecessorReplied) {
	if m.fencingToken != t.term.FencingToken {
		return
	}
	now := t.clock.Now()
	switch {
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

// takeReport takes over a runner's report.
func (t *task) handleReport(m runnerReported) {
	delete(t.polling, m.runner)
	if m.err != nil {
		if t.view.Unresponsive(m.runner) {
			return
		}
		t.view = t.view.WithReportFailure(m.runner)
		t.logger.Info().EmbedObject(reporter.EventOrderEnded).Str("runner", string(m.runner)).Str("outcome", "no-report").
			Err(m.err).Send()
		return
	}
	t.view = t.view.WithReport(m.report, t.clock.Now())
	t.changed = true
}

// leads reports whether the VM leads. Where runners check fencing numbers, a
// leader whose grant cannot be renewed goes on: a successor asks it to yield, and
// runners that a successor has given an order refuse its own.
func (t *task) leads(now buckthorndyke.Millis) bool {
	until := t.term.Until
	if t.checksFencingTokens {
		until += outageLimit
	}
	return t.term.Leading && now < until && t.term.FencingToken > t.fencedToken
}

// mayOrder reports whether the VM may give orders: it leads, its grant lasts,
// and the lease of a previous leader has ended.
func (t *task) mayOrder(now buckthorndyke.Millis) bool {
	return t.leads(now+orderMargin) && now >= t.ordersFrom
}

// poll asks the runners with an outstanding order for their reports.
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
	if now < t.surveyedAt+surveyInterval {
		return
	}
	t.surveyedAt = now
	for _, id := range t.view.RunnersToPoll() {
		t.requestReport(id)
	}
}

// ask asks a runner for its report.
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
		case l := <-lists:
			t.lists = t.lists.with(l)
			t.assessment = t.assessment.WithoutUnlisted(l)
			t.view = t.view.WithBackends(l, t.clock.Now())
			t.changed = true
		case t.seenList = <-seenList:
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

// order sends an order.
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
		Adapter: order.Adapter, Backend: backend, ExpectedOrders: orders, FencingToken: t.term.FencingToken, Leader: t.self.VM,
		Kind: order.Kind, Model: order.Model,
	}
	t.logger.Info().EmbedObject(reporter.EventOrderSent).Str("runner", string(order.Runner)).Str("kind", string(order.Kind)).
		Str("model", string(order.Model)).Str("adapter", order.Adapter).Int64("expect", sent.ExpectedOrders).Int64("fence", sent.FencingToken).
		Str("tier", order.Tier.String()).Str("goal", string(order.TargetModel)).
		Any("holdings", backend.LoadedModels).Send()
	go func() {
		outcome, err := t.pool.Order(t.runCtx, sent)
		_ = t.box.Send(t.runCtx, orderReplied{err: err, expectedOrders: sent.ExpectedOrders, order: order, outcome: outcome})
	}()
}

// quiet returns the time since the VM's last order or, while it still waits out
// the lease of the leader before, since that one's.
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

// step does what the state calls for at now.
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
	t.replyToHeld(now)
}

// yield gives up leading if a successor has a higher fencing number.
func (t *task) yield(m yieldRequested) {
	if m.fencingToken > t.term.FencingToken {
		t.fencedToken = max(t.fencedToken, t.term.FencingToken)
	}
	now := t.clock.Now()
	m.reply.Answer(buckthorndyke.YieldReply{GrantValid: now < t.term.Until, SinceLastOrder: t.sinceLastOrder(now)})
}
