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
	adapterTime = 14 * buckthorndyke.Millisecond
	// orderMargin is how long before the end of its grant a leader stops giving
	// orders, so that none is on its way when the next leader begins.
	orderMargin = 300 * buckthorndyke.Millisecond
	// outageLimit is how long a leader goes on whose grant cannot be renewed, where
	// runners check fencing numbers.
	outageLimit = 30 * buckthorndyke.Second
	// pollEvery is the time between two looks at a runner with an outstanding
	// order.
	pollEvery = 120 * buckthorndyke.Millisecond
	// yieldTimeout bounds the question to the previous leader.
	yieldTimeout = 300 * buckthorndyke.Millisecond
	// planEvery is the least time between two plans, whose cost grows with the
	// fleet while messages come from all of it.
	planEvery = 30 * buckthorndyke.Millisecond
	// planRest is how many times as long as a plan the time until the next one is at
	// least, so that a slow VM has time for its peers.
	planRest = 5
	// surveyEvery is the time between two looks at runners whose reports are
	// needed.
	surveyEvery = 400 * buckthorndyke.Millisecond
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
	fenced int64
	floor  stager.View
	// from is the instant from which the VM may give orders.
	from buckthorndyke.Millis
	life context.Context
	// lists are the platform's list of servers and those before it.
	lists history
	// loads are the requests that the VMs have at servers.
	loads stager.ServerLoads
	// ordered is the instant of the last order, or 0.
	ordered buckthorndyke.Millis
	// parked are the reports of demand that wait for something to change.
	parked []parked
	// planAt is the instant of the next plan.
	planAt buckthorndyke.Millis
	// polled is the instant of the last look at the runners.
	polled buckthorndyke.Millis
	// polling holds the runners whose report was asked for.
	polling map[buckthorndyke.RunnerID]bool
	// seenList and seenRouting are what this VM has read last.
	seenList, seenRouting buckthorndyke.SeenVersion
	// surveyed is the instant of the last look at runners without a report.
	surveyed buckthorndyke.Millis
	term     buckthorndyke.Term
	// told holds when each VM was last answered.
	told map[buckthorndyke.VMID]buckthorndyke.Millis
}

// run handles messages until ctx ends.
func (t *task) run(ctx context.Context) error {
	routings := t.feeds.Routings.Subscribe(ctx)
	lists := t.feeds.Lists.Subscribe(ctx)
	seenList, seenRouting := t.feeds.SeenList.Subscribe(ctx), t.feeds.SeenRouting.Subscribe(ctx)
	terms, taught := t.feeds.Terms.Subscribe(ctx), t.feeds.FullSpeedLoads.Subscribe(ctx)
	for {
		wait := buckthorndyke.Minute
		if t.term.Leading {
			wait = planEvery
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.box.Receive():
			m.apply(t)
		case r := <-routings:
			t.floor = t.floor.WithRouting(r)
		case l := <-lists:
			t.lists = t.lists.with(l)
			t.assessment = t.assessment.WithoutUnlisted(l)
			t.floor = t.floor.WithBackends(l, t.clock.Now())
			t.changed = true
		case t.seenList = <-seenList:
		case t.seenRouting = <-seenRouting:
		case term := <-terms:
			t.changeTerm(term)
		case n := <-taught:
			if !t.term.Leading {
				t.floor = t.floor.WithFullSpeedLoads(n)
			}
		case <-t.clock.After(wait):
		}
		t.step(t.clock.Now())
	}
}

// changeTerm takes over the VM's standing.
func (t *task) changeTerm(term buckthorndyke.Term) {
	if term.Leading && (!t.term.Leading || term.FencingToken != t.term.FencingToken) {
		now := t.clock.Now()
		t.floor = t.floor.WithTerm(now)
		clear(t.told)
		t.from = now
		if term.PreviousLeader != "" || !t.checksFence {
			t.from = now + t.lease
		}
		if term.PreviousLeader != "" {
			t.askPredecessor(term.PreviousLeader, term.FencingToken)
		}
	}
	t.term = term
}

// askPredecessor asks the previous leader when it gave its last order.
func (t *task) askPredecessor(address string, fence int64) {
	go func() {
		ctx, cancel := context.WithTimeout(t.life, yieldTimeout.Duration())
		defer cancel()
		said, err := t.leaders.Yield(ctx, address, fence)
		_ = t.box.Send(t.life, predecessorAnswered{err: err, fence: fence, said: said})
	}()
}

// leads reports whether the VM leads. Where runners check fencing numbers, a
// leader whose grant cannot be renewed goes on: a successor asks it to yield, and
// runners that a successor has given an order refuse its own.
func (t *task) leads(now buckthorndyke.Millis) bool {
	until := t.term.Until
	if t.checksFence {
		until += outageLimit
	}
	return t.term.Leading && now < until && t.term.FencingToken > t.fenced
}

// mayOrder reports whether the VM may give orders: it leads, its grant lasts,
// and the lease of a previous leader has ended.
func (t *task) mayOrder(now buckthorndyke.Millis) bool {
	return t.leads(now+orderMargin) && now >= t.from
}

// order sends an order.
func (t *task) order(i stager.PlannedOrder) {
	backend, ok := t.floor.Backend(i.Runner)
	if !ok {
		return
	}
	orders, known := t.floor.AcceptedOrders(i.Runner)
	if !known {
		t.ask(i.Runner)
		return
	}
	now := t.clock.Now()
	t.floor = t.floor.WithOrder(i, now)
	t.ordered = now
	o := buckthorndyke.ModelOrder{
		Adapter: i.Adapter, Backend: backend, ExpectedOrders: orders, FencingToken: t.term.FencingToken, Leader: t.self.VM,
		Kind: i.Kind, Model: i.Model,
	}
	t.logger.Info().EmbedObject(reporter.EventOrderSent).Str("runner", string(i.Runner)).Str("kind", string(i.Kind)).
		Str("model", string(i.Model)).Str("adapter", i.Adapter).Int64("expect", o.ExpectedOrders).Int64("fence", o.FencingToken).
		Str("tier", i.Tier.String()).Str("goal", string(i.TargetModel)).
		Any("holdings", backend.LoadedModels).Send()
	go func() {
		outcome, err := t.pool.Order(t.life, o)
		_ = t.box.Send(t.life, orderAnswered{err: err, expect: o.ExpectedOrders, intent: i, outcome: outcome})
	}()
}

// poll asks the runners with an outstanding order for their reports.
func (t *task) poll(now buckthorndyke.Millis) {
	if now < t.polled+pollEvery {
		return
	}
	t.polled = now
	for id, sent := range t.floor.PendingOrders() {
		if now < sent+pollEvery {
			continue
		}
		t.ask(id)
	}
	if now < t.surveyed+surveyEvery {
		return
	}
	t.surveyed = now
	for _, id := range t.floor.RunnersToPoll() {
		t.ask(id)
	}
}

// ask asks a runner for its report.
func (t *task) ask(id buckthorndyke.RunnerID) {
	backend, ok := t.floor.Backend(id)
	if !ok || t.polling[id] {
		return
	}
	t.polling[id] = true
	go func() {
		report, err := t.pool.Report(t.life, backend)
		_ = t.box.Send(t.life, runnerReported{err: err, report: report, runner: id})
	}()
}

// quiet returns the time since the VM's last order or, while it still waits out
// the lease of the leader before, since that one's.
func (t *task) quiet(now buckthorndyke.Millis) buckthorndyke.Millis {
	switch {
	case now < t.from:
		return max(t.lease-(t.from-now), 0)
	case t.ordered > 0:
		return now - t.ordered
	default:
		return buckthorndyke.NeverOrdered
	}
}

// step does what the state calls for at now.
func (t *task) step(now buckthorndyke.Millis) {
	if t.mayOrder(now) && now >= t.planAt {
		t.floor = t.floor.WithSlowLoads(now)
		for _, i := range t.floor.Plan(now) {
			t.order(i)
		}
		t.poll(now)
		took := t.clock.Now() - now
		t.planAt = now + max(planEvery, took*planRest)
	}
	t.answerParked(now)
}

// takeAnswer takes over a runner's answer to an order.
func (t *task) takeAnswer(m orderAnswered) {
	now := t.clock.Now()
	t.changed = true
	t.logger.Info().EmbedObject(reporter.EventOrderEnded).Str("runner", string(m.intent.Runner)).
		Str("kind", string(m.intent.Kind)).Str("model", string(m.intent.Model)).Str("adapter", m.intent.Adapter).
		Str("outcome", string(m.outcome)).Err(m.err).Send()
	switch m.outcome {
	case buckthorndyke.ModelOrderAccepted:
		t.floor = t.floor.WithAccepted(m.intent.Runner, m.expect+1)
		if m.intent.Adapter != "" && m.intent.Kind == buckthorndyke.OrderLoad {
			// An accepted unload waits for the adapter's requests: only a report shows
			// its end.
			t.settleAdapter(m.intent)
		}
	case buckthorndyke.ModelOrderDone:
		if m.intent.Adapter != "" && m.intent.Kind == buckthorndyke.OrderUnload {
			t.floor = t.floor.WithAccepted(m.intent.Runner, m.expect+1)
		}
		t.floor = t.floor.WithDone(m.intent, now)
	case buckthorndyke.ModelOrderFenced:
		t.floor = t.floor.WithFailed(m.intent, now)
		t.fenced = t.term.FencingToken
	case buckthorndyke.ModelOrderRefused:
		t.floor = t.floor.WithFailed(m.intent, now)
		t.ask(m.intent.Runner)
	}
}

// settleAdapter holds an accepted order for an adapter to be carried out after
// the time that this takes: the runner's reports lag behind by far more.
func (t *task) settleAdapter(i stager.PlannedOrder) {
	go func() {
		select {
		case <-t.life.Done():
		case <-t.clock.After(adapterTime):
			_ = t.box.Send(t.life, adapterSettled{intent: i})
		}
	}()
}

// takePredecessor takes over what the previous leader said. One that does not
// answer, or that the platform does not renew, need not be waited for where
// runners check fencing numbers: they refuse its orders.
func (t *task) takePredecessor(m predecessorAnswered) {
	if m.fence != t.term.FencingToken {
		return
	}
	now := t.clock.Now()
	switch {
	case m.err == nil && m.said.SinceLastOrder == buckthorndyke.NeverOrdered:
		t.from = now
	case t.checksFence && (m.err != nil || !m.said.GrantValid):
		t.from = now
	case m.err == nil:
		t.from = now + max(t.lease-m.said.SinceLastOrder, 0)
	}
	t.logger.Info().EmbedObject(reporter.EventTermChanged).Bool("leading", true).Int64("fence", m.fence).
		Int64("order-in-ms", int64(t.from-now)).Err(m.err).Send()
}

// takeReport takes over a runner's report.
func (t *task) takeReport(m runnerReported) {
	delete(t.polling, m.runner)
	if m.err != nil {
		if t.floor.Unresponsive(m.runner) {
			return
		}
		t.floor = t.floor.WithReportFailure(m.runner)
		t.logger.Info().EmbedObject(reporter.EventOrderEnded).Str("runner", string(m.runner)).Str("outcome", "no-report").
			Err(m.err).Send()
		return
	}
	t.floor = t.floor.WithReport(m.report, t.clock.Now())
	t.changed = true
}

// yield gives up leading if a successor has a higher fencing number.
func (t *task) yield(m yieldAsked) {
	if m.fence > t.term.FencingToken {
		t.fenced = max(t.fenced, t.term.FencingToken)
	}
	now := t.clock.Now()
	m.reply.Answer(buckthorndyke.YieldReply{GrantValid: now < t.term.Until, SinceLastOrder: t.quiet(now)})
}
