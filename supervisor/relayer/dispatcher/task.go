package dispatcher

import (
	"cmp"
	"context"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

const (
	// assumedPart is the number of retries that a VM may send at once until a leader
	// says how many VMs share them. When all VMs start again, each has its part anew:
	// it has to be small even in a large fleet.
	assumedPart = 2
	// retriesEarned is the number of retries that a thousand requests earn: the
	// platform allows 200 of all VMs.
	retriesEarned = 120
	// retryShare is the part of the retries beyond these, in thousandths, that the
	// fleet uses: VMs that come late to know its size take a little more.
	retryShare = 850
	// idleWake bounds the time between two looks at the waiting requests.
	idleWake = buckthorndyke.Second
	// retryAfter is how long a client whose request found no server should wait.
	retryAfter = 500 * buckthorndyke.Millisecond
)

// Refusals of the task.
var (
	errBudget = buckthorndyke.NewRefusal(buckthorndyke.CodeOverloaded, buckthorndyke.NotRun,
		"too many requests have to be repeated").WithRetryAfter(retryAfter)
	errNoServer = buckthorndyke.NewRefusal(buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun,
		"no server could take the request in time").WithRetryAfter(retryAfter)
)

// task is the state of one run of a dispatcher. Only its goroutine touches it.
type task struct {
	*Dispatcher
	// arrivals counts the requests since the last report of demand.
	arrivals map[buckthorndyke.ModelKey]int
	board    selector.View
	// drainUntil is the instant after which no request waits, or 0.
	drainUntil buckthorndyke.Millis
	budgets    map[buckthorndyke.ServiceID]chooser.Budget
	// expected holds when a runner is going to hold what requests wait for, as the
	// leader said last.
	expected map[buckthorndyke.ModelKey]buckthorndyke.Millis
	// fleet is the number of VMs, as the leader said last, or 0.
	fleet int
	// led is set while some VM gives orders to the runners.
	led bool
	// rates averages the arrivals.
	rates   map[buckthorndyke.ModelKey]buckthorndyke.Rate
	routing buckthorndyke.Routing
	running map[buckthorndyke.ModelKey]int
	// suspects are the servers that fail requests of all VMs, as the leader said last.
	suspects []buckthorndyke.RunnerID
	// waiting holds the requests without a server in the order of their arrival.
	waiting []admitAsked
}

func newTask(d *Dispatcher) *task {
	return &task{
		Dispatcher: d,
		arrivals:   make(map[buckthorndyke.ModelKey]int),
		budgets:    make(map[buckthorndyke.ServiceID]chooser.Budget),
		rates:      make(map[buckthorndyke.ModelKey]buckthorndyke.Rate),
		running:    make(map[buckthorndyke.ModelKey]int),
	}
}

// run handles messages until ctx ends.
func (t *task) run(ctx context.Context) error {
	routings := t.routings.Subscribe(ctx)
	lists := t.lists.Subscribe(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.box.Receive():
			m.apply(t)
		case r := <-routings:
			t.routing = r
		case l := <-lists:
			t.board = t.board.WithBackends(l)
			t.retryWaiting()
		case <-t.clock.After(t.wake()):
			t.retryWaiting()
		}
	}
}

// admit gives a request a server or lets it wait.
func (t *task) admit(m admitAsked) {
	key := m.query.Key
	if !m.retry {
		t.budgets[key.Service] = t.budget(key.Service).WithRequest()
		if key.Model != "" {
			t.arrivals[key]++
			t.rates[key] = t.rates[key].WithArrivals(1, t.clock.Now())
		}
	} else if m.job.runs > 0 && !t.budget(key.Service).Allows() {
		m.reply.Answer(grant{err: errBudget})
		return
	}
	if t.offer(m) {
		return
	}
	t.waiting = append(t.waiting, m)
	if key.Model != "" {
		t.press()
	}
}

// budget returns the retries that a service may still get from this VM.
func (t *task) budget(service buckthorndyke.ServiceID) chooser.Budget {
	if b, ok := t.budgets[service]; ok {
		return b
	}
	return chooser.NewBudget(chooser.WithBurst(t.retryPart()), chooser.WithRetriesPerThousand(retriesEarned))
}

// demand returns the demand since the last call, or with all recent arrivals.
func (t *task) demand(recent bool) buckthorndyke.DemandReport {
	if recent {
		t.recall()
	}
	lines := make(map[buckthorndyke.ModelKey]buckthorndyke.DemandEntry)
	change := func(key buckthorndyke.ModelKey, change func(l *buckthorndyke.DemandEntry)) {
		line := lines[key]
		line.Key = key
		change(&line)
		lines[key] = line
	}
	for key, n := range t.arrivals {
		change(key, func(l *buckthorndyke.DemandEntry) { l.Arrivals = n })
	}
	for key, n := range t.running {
		change(key, func(l *buckthorndyke.DemandEntry) { l.Running = n })
	}
	now := t.clock.Now()
	answer := buckthorndyke.DemandReport{Attempts: t.board.AttemptCounts(), ServerLoads: t.board.OwnLoads()}
	t.board = t.board.WithoutAttemptCounts()
	for _, m := range t.waiting {
		if m.query.Key.Model == "" {
			continue
		}
		answer.Waiting = true
		change(m.query.Key, func(l *buckthorndyke.DemandEntry) {
			if due := max(m.patience.coming-now, 0); l.Waiting == 0 || due < l.TimeLeft {
				l.TimeLeft = due
			}
			l.Waiting++
		})
	}
	clear(t.arrivals)
	for _, line := range lines {
		answer.Entries = append(answer.Entries, line)
	}
	slices.SortFunc(answer.Entries, func(a, b buckthorndyke.DemandEntry) int {
		return cmp.Or(cmp.Compare(a.Key.Model, b.Key.Model), cmp.Compare(a.Key.Adapter, b.Key.Adapter))
	})
	return answer
}

// endAttempt takes over how an attempt went.
func (t *task) endAttempt(m attemptEnded) {
	now := t.clock.Now()
	t.board = t.board.WithLoad(m.server, selector.Load{Requests: -m.load.Requests, Tokens: -m.load.Tokens})
	if m.key.Model != "" {
		if t.running[m.key]--; t.running[m.key] <= 0 {
			delete(t.running, m.key)
		}
	}
	switch m.result {
	case resultServed:
		t.board = t.board.WithSuccess(m.server)
	case resultAbsent:
		t.board = t.board.WithMissing(m.server, m.key, now)
	case resultFailed:
		t.board = t.board.WithFailure(m.server, now)
		t.press()
	case resultFaulty:
		t.board = t.board.WithFailedAttempt(m.server)
	case resultFull:
		t.board = t.board.WithFull(m.server, now)
	}
}

// leave forgets a request that no longer waits.
func (t *task) leave(left admitLeft) {
	t.waiting = slices.DeleteFunc(t.waiting, func(m admitAsked) bool { return m.job == left.job })
	left.reply.Answer(struct{}{})
}

// offer gives a request a server if one can take it. One that no server has run
// yet waits until it may be sent again.
func (t *task) offer(m admitAsked) bool {
	if m.retry && !t.budget(m.query.Key.Service).Allows() {
		return false
	}
	m.query.Now = t.clock.Now()
	m.query.Domain = t.domain
	backend, ok := t.board.Choose(m.query)
	if !ok {
		return false
	}
	key := m.query.Key
	if m.retry {
		t.budgets[key.Service] = t.budget(key.Service).WithRetry()
	}
	t.board = t.board.WithLoad(backend.ID, m.load)
	if key.Model != "" {
		t.running[key]++
	}
	m.reply.Answer(grant{backend: backend})
	return true
}

// press tells that something has begun to wait.
func (t *task) press() {
	select {
	case t.pressing <- struct{}{}:
	default:
	}
}

// recall counts all recent arrivals as new ones.
func (t *task) recall() {
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

// retryPart returns this VM's part of the retries that the fleet may send at once.
func (t *task) retryPart() int {
	if t.fleet == 0 {
		return assumedPart
	}
	return max(t.retryBurst*retryShare/1000/t.fleet, 1)
}

// retryWaiting offers servers to the waiting requests and refuses those that
// have waited too long.
func (t *task) retryWaiting() {
	now := t.clock.Now()
	kept := t.waiting[:0]
	for _, m := range t.waiting {
		switch {
		case t.offer(m):
		case now >= t.until(m):
			m.reply.Answer(grant{err: errNoServer, expected: t.expected[m.query.Key]})
		default:
			kept = append(kept, m)
		}
	}
	t.waiting = kept
}

// takeLeader takes over a leader's word.
func (t *task) takeLeader(reply buckthorndyke.DemandReply) {
	now := t.clock.Now()
	t.led = true
	if reply.ReportingVMs > 0 && reply.ReportingVMs != t.fleet {
		t.fleet = reply.ReportingVMs
		for service, b := range t.budgets {
			t.budgets[service] = b.WithBurst(t.retryPart())
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
	t.board = t.board.WithRunnerModels(reply.RunnerModels, now).WithOtherVMsLoads(reply.ServerLoads, now).
		WithSuspects(reply.Suspects, now)
	t.retryWaiting()
}

// until returns the instant until which a request may wait.
func (t *task) until(m admitAsked) buckthorndyke.Millis {
	return m.patience.WithDrain(t.drainUntil).Until(m.query.Key, t.led, t.expected[m.query.Key])
}

// wake returns the time until the next waiting request has waited too long, or may
// find a server.
func (t *task) wake() buckthorndyke.Millis {
	now := t.clock.Now()
	wake := idleWake
	if len(t.waiting) > 0 {
		wake = t.board.NextRetry(now, wake)
	}
	for _, m := range t.waiting {
		wake = min(wake, max(t.until(m)-now, 1))
	}
	return wake
}
