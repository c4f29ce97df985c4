package dispatcher

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/authenticator"
	"github.com/buckthorndyke/buckthorndyke/chooser"
	"github.com/buckthorndyke/buckthorndyke/estimator"
	"github.com/buckthorndyke/buckthorndyke/quarantiner"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/selector"
	"github.com/buckthorndyke/buckthorndyke/sequencer"
)

const (
	// assumedBurst is the burst of retries that a VM may send until a leader tells it how
	// many VMs share them. All VMs have it after a restart of the whole fleet, so it has
	// to be small even in a large fleet.
	assumedBurst = 2
	// earnedRetries is the number of retries that a VM may send per 1000 of its
	// requests, beyond the burst. The platform allows 200 per 1000 over all VMs.
	earnedRetries = 120
	// burstPermille is the part of the burst of retries, in thousandths, that the VMs
	// share. The rest covers VMs that do not know the current number of VMs yet.
	burstPermille = 850
	// maxWake bounds the time between two checks of the waiting requests.
	maxWake = buckthorndyke.Second
	// minRetryAfter is the minimum time after which a client is asked to retry.
	minRetryAfter = 500 * buckthorndyke.Millisecond
)

// Refusals by the task.
var (
	errBudget = buckthorndyke.NewRefusal(buckthorndyke.CodeOverloaded, buckthorndyke.NotRun,
		"too many requests are being retried").WithRetryAfter(minRetryAfter)
	errPaused = buckthorndyke.NewRefusal(buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun,
		"all servers have asked for a pause")
	errNoServer = buckthorndyke.NewRefusal(buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun,
		"no server became available in time").WithRetryAfter(minRetryAfter)
)

// task is the state of one run of a dispatcher. Only its goroutine accesses it.
type task struct {
	*Dispatcher
	allotments allotments
	// arrivals counts the requests since the previous demand report.
	arrivals map[buckthorndyke.ModelKey]int
	budgets  map[buckthorndyke.ServiceID]chooser.Budget
	// confirmationAskedAt is the instant of the last request for a confirmation of the
	// configuration's version, or 0.
	confirmationAskedAt buckthorndyke.Millis
	// crashSigns holds the servers whose connections broke, until it is known whether
	// they have ended.
	crashSigns map[buckthorndyke.Lifetime]crashSign
	// crashes is the evidence of crashes, of this VM and of the others.
	crashes quarantiner.Evidence
	// crashSync says what of the evidence this VM and the leader have told each other.
	crashSync crashSync
	drain     drain
	// durations holds the recent durations of the attempts on each route.
	durations map[string]estimator.Peak
	// expected holds the instants at which models are going to be loaded, from the
	// leader's latest reply.
	expected map[buckthorndyke.ModelKey]buckthorndyke.Millis
	// fleetSize is the number of entry VMs from the leader's latest reply, or 0.
	fleetSize int
	// formerKeys are the keys that were removed from the configuration.
	formerKeys authenticator.FormerKeys
	// handled is the message that is being handled, or nil.
	handled message
	// hasLeader is set while a leader replies to demand reports.
	hasLeader bool
	// labels are the callers that have metrics of their own.
	labels labels
	// rates holds the average rates of arrivals.
	rates map[buckthorndyke.ModelKey]buckthorndyke.Rate
	// recent holds the fingerprints that were served recently.
	recent  quarantiner.Recent
	roomLog roomLog
	// roomSignalAt is the instant of the last early report because of requests that wait
	// for room, or 0.
	roomSignalAt buckthorndyke.Millis
	routing      buckthorndyke.Routing
	runCtx       context.Context
	running      map[buckthorndyke.ModelKey]int
	// seenRouting is the version of the configuration that this VM or the leader has read
	// last.
	seenRouting buckthorndyke.SeenVersion
	// suspects are the servers that fail requests of all VMs, from the leader's latest
	// reply.
	suspects []buckthorndyke.RunnerID
	// spans holds how long the requests of each route take until their first event or
	// response.
	spans map[string]sequencer.Span
	// timesLoggedAt is the instant of the last line on the times of servers.
	timesLoggedAt buckthorndyke.Millis
	// unconfirmed holds the requests that wait for a confirmation of the configuration's
	// version.
	unconfirmed []confirmationRequested
	view        selector.View
	// waiting holds the requests that wait for a server.
	waiting waiting
}

func newTask(ctx context.Context, d *Dispatcher) *task {
	return &task{
		Dispatcher: d,
		allotments: newAllotments(d.allotmentBounds),
		arrivals:   make(map[buckthorndyke.ModelKey]int),
		budgets:    make(map[buckthorndyke.ServiceID]chooser.Budget),
		crashSigns: make(map[buckthorndyke.Lifetime]crashSign),
		crashes:    quarantiner.New(),
		durations:  make(map[string]estimator.Peak),
		labels:     make(labels),
		rates:      make(map[buckthorndyke.ModelKey]buckthorndyke.Rate),
		runCtx:     ctx,
		running:    make(map[buckthorndyke.ModelKey]int),
		spans:      make(map[string]sequencer.Span),
		waiting:    newWaiting(sequencer.New(d.order...)),
	}
}

// run handles messages until ctx ends.
func (t *task) run(ctx context.Context) error {
	routings := t.routings.Subscribe(ctx)
	lists := t.lists.Subscribe(ctx)
	reads, notices := subscribe(ctx, t.seenRoutings), subscribe(ctx, t.routingNotices)
	for {
		t.handleDue()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.box.Receive():
			t.handled = m
			m.apply(t)
			t.handled = nil
		case r := <-routings:
			t.applyRouting(r)
		case seen := <-reads:
			t.applySeenRouting(seen)
		case seen := <-notices:
			t.applySeenRouting(seen)
		case l := <-lists:
			t.confirmCrashesByList(l)
			t.view = t.view.WithBackends(l)
			t.offerAll()
		case <-t.clock.After(t.nextWake()):
		}
	}
}

// abandon replies to those that wait for a reply of the run, which has ended. Requests that
// wait for a server or a grant ask the next run, which is told if the VM is stopping.
func (t *task) abandon() {
	if t.drain.end > 0 {
		t.box.TrySend(drainStarted{drain: t.drain})
	}
	if q, ok := t.handled.(question); ok {
		q.abandon()
	}
	for _, m := range t.unconfirmed {
		m.abandon()
	}
	for _, queue := range t.allotments.waiting {
		for _, w := range queue {
			w.m.reply.Answer(admission{lost: true})
		}
	}
	for _, m := range t.waiting.requests {
		m.reply.Answer(admission{lost: true})
	}
}

// admit assigns a server to a request or queues the request.
func (t *task) admit(m admissionRequested) {
	if t.refuseQuarantined(m) || t.refuseTooLarge(m) || !m.retry && !t.charge(m) {
		return
	}
	t.admitCharged(m)
}

// admitCharged assigns a server to a request that its caller's allotment admits, or queues
// the request.
func (t *task) admitCharged(m admissionRequested) {
	key := m.query.Key
	if !m.retry {
		t.budgets[key.Service] = t.budget(key.Service).WithRequest()
		if key.Model != "" {
			t.arrivals[key]++
			t.rates[key] = t.rates[key].WithArrivals(1, t.clock.Now())
		}
	} else if m.job.executions > 0 && !t.budget(key.Service).Allows() {
		m.reply.Answer(admission{err: errBudget})
		return
	}
	if !t.refuseStopping(m) {
		t.enqueue(m)
	}
}

// applyLeaderReply applies a leader's reply.
func (t *task) applyLeaderReply(reply buckthorndyke.DemandReply) {
	now := t.clock.Now()
	t.hasLeader = true
	t.applyLeaderCrashes(reply)
	t.applyGrants(reply.Allotments, reply.LeaderPosition, now)
	if reply.ReportingVMs > 0 && reply.ReportingVMs != t.fleetSize {
		t.fleetSize = reply.ReportingVMs
		for service, b := range t.budgets {
			t.budgets[service] = b.WithBurst(t.burstShare())
		}
	}
	t.expected = make(map[buckthorndyke.ModelKey]buckthorndyke.Millis, len(reply.LoadEstimates))
	for _, e := range reply.LoadEstimates {
		t.expected[e.Key] = now + e.ReadyIn
	}
	if !slices.Equal(t.suspects, reply.Suspects) {
		t.suspects = reply.Suspects
		t.logger.Info().EmbedObject(reporter.EventServersSuspected).Any("servers", reply.Suspects).Send()
	}
	t.view = t.view.WithRunnerModels(reply.RunnerModels, now).WithOtherVMsLoads(reply.ServerLoads, now).
		WithSuspects(reply.Suspects, now).WithFleetSize(t.fleetSize)
	t.updateLimits()
	t.offerAll()
}

// budget returns the retries that this VM may still send to a service.
func (t *task) budget(service buckthorndyke.ServiceID) chooser.Budget {
	if b, ok := t.budgets[service]; ok {
		return b
	}
	return chooser.NewBudget(chooser.WithBurst(t.burstShare()), chooser.WithRetriesPerThousand(earnedRetries))
}

// burstShare returns this VM's share of the burst of retries that all VMs may send.
func (t *task) burstShare() int {
	if t.fleetSize == 0 {
		return assumedBurst
	}
	return max(t.retryBurst*burstPermille/1000/t.fleetSize, 1)
}

// cancelAdmission removes a request that no longer waits, and releases the server that was
// assigned to it before the cancellation was received.
func (t *task) cancelAdmission(cancelled admissionCancelled) {
	j := cancelled.job
	t.cancelGrantWait(j)
	if ticket, ok := t.waiting.tickets[j]; ok {
		t.forget(ticket)
	}
	select {
	case a := <-cancelled.reply.Receive():
		if a.err == nil && !a.lost {
			t.endAttempt(attemptEnded{
				backend: a.backend, fingerprints: j.fingerprints, key: j.key, load: a.load, result: resultNeutral, route: j.route.Name,
				sent: a.sent,
			})
		}
	default:
	}
}

// demand returns the demand since the previous call. With recent it includes all recent
// arrivals.
func (t *task) demand(recent bool) buckthorndyke.DemandReport {
	if recent {
		t.includeRecent()
	}
	entries := make(map[buckthorndyke.ModelKey]buckthorndyke.DemandEntry)
	change := func(key buckthorndyke.ModelKey, change func(e *buckthorndyke.DemandEntry)) {
		entry := entries[key]
		entry.Key = key
		change(&entry)
		entries[key] = entry
	}
	for key, n := range t.arrivals {
		change(key, func(e *buckthorndyke.DemandEntry) { e.Arrivals = n })
	}
	for key, n := range t.running {
		change(key, func(e *buckthorndyke.DemandEntry) { e.Running = n })
	}
	now := t.clock.Now()
	t.measureRoom(now)
	t.logTimes(now)
	report := buckthorndyke.DemandReport{
		Attempts: t.view.AttemptCounts(), Crashes: t.crashesToReport(recent), CrashesSeen: t.crashSync.seen,
		ServerLoads: t.view.OwnLoads(),
	}
	t.view = t.view.WithoutAttemptCounts()
	t.allotmentUses(&report, now)
	t.meter.Set(buckthorndyke.MetricWaiting, int64(t.waiting.queue.Len()))
	t.meter.Set(buckthorndyke.MetricWaitsPromised, int64(t.waiting.queue.Promised()))
	for _, m := range t.waiting.requests {
		if m.query.Key.Model == "" {
			continue
		}
		report.Waiting = true
		change(m.query.Key, func(e *buckthorndyke.DemandEntry) {
			if left := max(m.limits.loading-now, 0); e.Waiting == 0 || left < e.TimeLeft {
				e.TimeLeft = left
			}
			if priority := m.priority(); e.Waiting == 0 || priority < e.Priority {
				e.Priority = priority
			}
			e.Waiting++
		})
	}
	clear(t.arrivals)
	for _, entry := range entries {
		report.Entries = append(report.Entries, entry)
	}
	slices.SortFunc(report.Entries, func(a, b buckthorndyke.DemandEntry) int {
		return cmp.Or(cmp.Compare(a.Key.Model, b.Key.Model), cmp.Compare(a.Key.Adapter, b.Key.Adapter))
	})
	return report
}

// dropOldDurations forgets the routes that have served no requests recently.
func (t *task) dropOldDurations() {
	now := t.clock.Now()
	maps.DeleteFunc(t.durations, func(_ string, p estimator.Peak) bool {
		_, known := p.Value(now)
		return !known
	})
	maps.DeleteFunc(t.spans, func(route string, _ sequencer.Span) bool {
		_, known := t.durations[route]
		return !known
	})
}

// endAttempt applies the result of an attempt.
func (t *task) endAttempt(m attemptEnded) {
	now := t.clock.Now()
	t.view = t.view.WithLoad(m.backend.ID, m.load.Negative())
	if m.key.Model != "" {
		if t.running[m.key]--; t.running[m.key] <= 0 {
			delete(t.running, m.key)
		}
	}
	t.noteCrashSigns(m)
	if m.begun {
		t.noteServed(m.fingerprints)
	}
	switch m.result {
	case resultServed:
		t.durations[m.route] = t.durations[m.route].With(m.duration, now)
		if m.first > 0 {
			t.spans[m.route] = t.spans[m.route].With(m.first)
		}
		t.view = t.view.WithSuccess(m.backend.ID).WithoutPause(m.backend.ID, now)
		t.noteRoomUsed(m, now)
		t.learnEnd(m, now)
	case resultModelMissing:
		t.waiting.queue = t.waiting.queue.WithRejected(m.key)
		t.view = t.view.WithMissing(m.backend.ID, m.key, now)
	case resultFailed:
		t.view = t.view.WithFailure(m.backend.ID, now)
		t.signalWaiting()
	case resultServerError:
		t.view = t.view.WithFailedAttempt(m.backend.ID)
	case resultBusy:
		t.waiting.queue = t.waiting.queue.WithRejected(m.key)
		t.noteFull(m, now)
	}
	t.offerServer(m.backend.ID)
}

// includeRecent counts all recent arrivals as not reported yet.
func (t *task) includeRecent() {
	now := t.clock.Now()
	for key, rate := range t.rates {
		n := rate.Recent(now)
		if n == 0 {
			delete(t.rates, key)
			continue
		}
		t.arrivals[key] = max(n, t.arrivals[key])
	}
}

// signalWaiting makes the demand source report early: a request has begun to wait, or a
// server has failed.
func (t *task) signalWaiting() {
	select {
	case t.workWaiting <- struct{}{}:
	default:
	}
}

// tryAdmit assigns a server to a request if one is available. A retry also waits until
// the service's retry budget allows it.
func (t *task) tryAdmit(m admissionRequested) outcome {
	if m.retry && !t.budget(m.query.Key.Service).Allows() {
		return outcomeNoBudget
	}
	m.query.Now = t.clock.Now()
	m.query.Domain = t.domain
	m.query.Waited = m.query.Now - m.job.request.Arrived
	m.query.CacheTokens = t.cacheTokens(m.query.Key)
	backend, ok := t.view.Choose(m.query)
	if !ok {
		return outcomeNoServer
	}
	key := m.query.Key
	if m.retry {
		t.budgets[key.Service] = t.budget(key.Service).WithRetry()
	}
	t.noteSent(m.job)
	load, sent := t.expect(m, backend)
	t.view = t.view.WithLoad(backend.ID, load)
	if key.Model != "" {
		t.running[key]++
	}
	m.reply.Answer(admission{backend: backend, load: load, sent: sent, yields: t.yields(m, backend)})
	return outcomeAdmitted
}

// waitUntil returns the instant until which a request may wait.
func (t *task) waitUntil(m admissionRequested) buckthorndyke.Millis {
	limits := m.limits.WithDrain(t.drain.waitUntil)
	if t.waitsForRoom(m) {
		return limits.UntilRoom()
	}
	return limits.Until(m.query.Key, t.hasLeader, t.expected[m.query.Key])
}
