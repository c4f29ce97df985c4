package selector_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

// load describes the VMs, servers and requests of a site.
type load struct {
	// costs holds the factors on the cost of a model's tokens, where it is not 1.
	costs map[buckthorndyke.ModelID]float64
	// digestPart is the part of the requests with a prompt of digestTokens.
	digestPart float64
	// digestTarget is the target of these requests, or 0 for that of the others.
	digestTarget buckthorndyke.Millis
	duration     buckthorndyke.Millis
	// longTokens is the length of their prompts, or 0 for digestTokens.
	longTokens int
	// ignoreLong is set if long prompts are sent with the urgency of short ones.
	ignoreLong bool
	// byUrgency is set if runners read the most urgent prompt first, not the oldest one.
	byUrgency bool
	// disturb, if set, is called before the load begins.
	disturb func(s *site)
	// holders holds the runners of each model.
	holders map[buckthorndyke.ModelID][]int
	// models draws the model of a request.
	models func(s *site) buckthorndyke.ModelID
	// prefixes is the number of shared prompt prefixes, or 0 for none.
	prefixes int
	// rate is the number of requests per second at an instant.
	rate          func(now buckthorndyke.Millis) float64
	runners       int
	slots         int
	prefillPerMs  float64
	speeds        []float64
	stepMs        float64
	target        buckthorndyke.Millis
	outputTokens  int
	promptTokens  int
	vms           int
	vmOf          func(s *site) int
	withoutLeader bool
	// withoutTimes is set if choices are made without expected times.
	withoutTimes bool
}

const (
	digestTokens = 9190
	prefixTokens = 600
	// waitLimit is how long a request waits for room.
	waitLimit = 1700 * buckthorndyke.Millisecond
)

// site is a deterministic model of VMs in front of runners. A runner reads prompts one
// after the other, rejects requests beyond its batch, and makes tokens of all requests in
// its batch at the same time.
type site struct {
	load
	events  eventQueue
	now     buckthorndyke.Millis
	random  *rand.Rand
	runners []*simRunner
	seq     int
	vms     []*simVM

	arrived, attempts, late, refused, rejected, served int
	firstEvents                                        []buckthorndyke.Millis
	// classes holds the results of the short prompts and of the long ones.
	classes [2]classResult
}

// classResult is what the requests of a class have seen.
type classResult struct {
	arrived, inTime int
	firstEvents     []buckthorndyke.Millis
}

// firstEvent returns a percentile of the time to the first event.
func (c classResult) firstEvent(percent int) buckthorndyke.Millis {
	sorted := slices.Sorted(slices.Values(c.firstEvents))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[(len(sorted)-1)*percent/100]
}

// inTimePermille returns the part of the requests that met their target, in thousandths.
func (c classResult) inTimePermille() int { return c.inTime * 1000 / max(c.arrived, 1) }

type simRunner struct {
	accepted int
	cached   map[uint64]bool
	domain   buckthorndyke.DomainID
	id       buckthorndyke.RunnerID
	inFlight int
	// busy is the sum of the requests in flight over time, until busyAt.
	busy        float64
	busyAt      buckthorndyke.Millis
	incarnation buckthorndyke.Incarnation
	readUntil   float64
	// unread holds the prompts that wait to be read, if they are read by urgency.
	unread []unreadPrompt
	// slow returns the factor on the time for all work at an instant.
	slow  func(now buckthorndyke.Millis) float64
	speed float64
}

// unreadPrompt is a prompt that a runner has not begun to read.
type unreadPrompt struct {
	// read reads the prompt from an instant on, and returns the instant of its end.
	read   func(at float64) float64
	yields bool
}

type simVM struct {
	domain  buckthorndyke.DomainID
	id      buckthorndyke.VMID
	view    selector.View
	waiting []*simRequest
	wakeAt  buckthorndyke.Millis
}

type simRequest struct {
	arrived, began buckthorndyke.Millis
	isLong         bool
	load           selector.Load
	sent           selector.Sent
	query          selector.Query
	retry          bool
	target         buckthorndyke.Millis
	tokens         int
	yields         bool
}

// class returns 1 for a long prompt, or 0.
func (r *simRequest) class() int {
	if r.isLong {
		return 1
	}
	return 0
}

// event is something that happens at an instant.
type event struct {
	at  buckthorndyke.Millis
	do  func()
	seq int
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// runLoad returns the site after a load.
func runLoad(l load) *site {
	s := &site{load: l, now: now, random: rand.New(rand.NewPCG(7, 11))}
	for n := range l.runners {
		r := &simRunner{
			cached: make(map[uint64]bool), domain: domainOf(n), id: buckthorndyke.RunnerID(fmt.Sprintf("r%03d", n)), incarnation: 1,
			slow: func(buckthorndyke.Millis) float64 { return 1 }, speed: 1,
		}
		if len(l.speeds) > 0 {
			r.speed = l.speeds[n%len(l.speeds)]
		}
		s.runners = append(s.runners, r)
	}
	for n := range l.vms {
		vm := &simVM{domain: domainOf(n), id: buckthorndyke.VMID(fmt.Sprintf("vm-%03d", n))}
		s.vms = append(s.vms, vm)
		if !l.withoutLeader {
			s.in(buckthorndyke.Millis(s.random.IntN(800)), func() { s.report(vm) })
		}
	}
	s.publish()
	if l.disturb != nil {
		l.disturb(s)
	}
	s.in(0, s.arrive)
	end := now + l.duration
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > end {
			break
		}
		s.now = e.at
		e.do()
	}
	return s
}

// domainOf returns the failure domain of VM or runner number n.
func domainOf(n int) buckthorndyke.DomainID { return buckthorndyke.DomainID(fmt.Sprintf("d%d", n%3)) }

// in does something after some time.
func (s *site) in(after buckthorndyke.Millis, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + after, do: do, seq: s.seq})
}

// publish sends all VMs the list of servers.
func (s *site) publish() {
	var list buckthorndyke.Backends
	for n, r := range s.runners {
		b := buckthorndyke.Backend{Domain: r.domain, ID: r.id, Incarnation: r.incarnation, Service: engines, Slots: s.slots}
		for model, on := range s.holders {
			if slices.Contains(on, n) {
				b.LoadedModels = append(b.LoadedModels, buckthorndyke.LoadedModel{Model: model})
			}
		}
		list.Servers = list.Servers.With(b.ID, b)
	}
	for _, vm := range s.vms {
		vm.view = vm.view.WithBackends(list)
		s.offer(vm)
	}
}

// report is a VM's report to the leader and the leader's reply.
func (s *site) report(vm *simVM) {
	sums := make(map[buckthorndyke.RunnerID]buckthorndyke.ServerLoad)
	for _, other := range s.vms {
		if other == vm {
			continue
		}
		for _, l := range other.view.OwnLoads() {
			sum := sums[l.Server]
			sum.Server, sum.Requests, sum.PromptTokens = l.Server, sum.Requests+l.Requests, sum.PromptTokens+l.PromptTokens
			sums[l.Server] = sum
		}
	}
	var loads []buckthorndyke.ServerLoad
	for _, r := range s.runners {
		if l, ok := sums[r.id]; ok {
			loads = append(loads, l)
		}
	}
	vm.view = vm.view.WithFleetSize(len(s.vms))
	// The leader's sums are as old as the other VMs' reports.
	s.in(400, func() {
		if len(s.vms) >= 16 {
			vm.view = vm.view.WithOtherVMsLoads(loads, s.now)
		}
		s.offer(vm)
	})
	s.in(800, func() { s.report(vm) })
}

// arrive lets one request arrive and plans the next one.
func (s *site) arrive() {
	rate := s.rate(s.now)
	s.in(max(buckthorndyke.Millis(math.Round(s.random.ExpFloat64()*1000/rate)), 0), s.arrive)
	s.arrived++
	r := &simRequest{arrived: s.now, target: s.target, tokens: s.promptTokens}
	if s.random.Float64() < s.digestPart {
		r.isLong, r.tokens = true, digestTokens
		if s.longTokens > 0 {
			r.tokens = s.longTokens
		}
		if s.digestTarget > 0 {
			r.target = s.digestTarget
		}
	}
	// Requests that arrive shortly before the end are not seen to end.
	if s.now < now+s.duration-2500 {
		s.classes[r.class()].arrived++
	}
	vm := s.vms[s.random.IntN(len(s.vms))]
	if s.vmOf != nil {
		vm = s.vms[s.vmOf(s)]
	}
	r.query = selector.Query{Domain: vm.domain, Key: buckthorndyke.ModelKey{Model: s.models(s), Service: engines}, Seed: s.random.Uint64()}
	if s.prefixes > 0 {
		r.query.Prefix = uint64(1+s.random.IntN(s.prefixes)) * 0x9e3779b97f4a7c15
	}
	s.describe(r)
	if !s.send(vm, r) {
		vm.waiting = append(vm.waiting, r)
		s.wake(vm)
	}
}

// offer offers the VM's waiting requests to the servers, and refuses those that have
// waited too long.
func (s *site) offer(vm *simVM) {
	var kept []*simRequest
	// The dispatcher offers room in this order too.
	slices.SortStableFunc(vm.waiting, func(a, b *simRequest) int {
		aInTime, bInTime := s.now < a.arrived+a.target-a.target/8, s.now < b.arrived+b.target-b.target/8
		switch {
		case aInTime != bInTime && aInTime:
			return -1
		case aInTime != bInTime:
			return 1
		case aInTime:
			return int(b.arrived - a.arrived)
		default:
			return int(a.arrived - b.arrived)
		}
	})
	for _, r := range vm.waiting {
		switch {
		case s.now >= r.arrived+waitLimit:
			s.refused++
		case s.send(vm, r):
		default:
			kept = append(kept, r)
		}
	}
	vm.waiting = kept
	s.wake(vm)
}

// wake offers the VM's waiting requests again at the instant that its view tells.
func (s *site) wake(vm *simVM) {
	if len(vm.waiting) == 0 {
		return
	}
	at := s.now + max(vm.view.NextRetry(s.now, 1000), 1)
	if vm.wakeAt > s.now && vm.wakeAt <= at {
		return
	}
	vm.wakeAt = at
	s.in(at-s.now, func() { s.offer(vm) })
}

// send sends a request to the server that its VM chooses, and reports whether there is
// one.
func (s *site) send(vm *simVM, r *simRequest) bool {
	r.query.Now, r.query.Waited = s.now, s.now-r.arrived
	b, ok := vm.view.Choose(r.query)
	if !ok {
		return false
	}
	n := slices.IndexFunc(s.runners, func(r *simRunner) bool { return r.id == b.ID })
	runner := s.runners[n]
	latency := buckthorndyke.Millis(0)
	if runner.domain != vm.domain {
		latency = 1
	}
	s.attempts++
	sent := s.now
	s.take(vm, r, b)
	s.in(latency, func() { s.execute(vm, r, runner, sent, latency) })
	return true
}

// execute lets a runner reject or serve a request.
func (s *site) execute(vm *simVM, r *simRequest, runner *simRunner, sent, latency buckthorndyke.Millis) {
	if runner.inFlight >= s.slots {
		s.rejected++
		s.in(latency, func() { s.reject(vm, r, runner.id, sent) })
		return
	}
	runner.change(1, s.now)
	runner.accepted++
	factor := runner.speed * runner.slow(s.now)
	cost := 1.0
	if c, ok := s.costs[r.query.Key.Model]; ok {
		cost = c
	}
	tokens := r.tokens
	if r.query.Prefix != 0 {
		if runner.cached[r.query.Prefix] {
			tokens -= prefixTokens
		}
		runner.cached[r.query.Prefix] = true
	}
	rest := buckthorndyke.Millis(math.Ceil(float64(s.outputTokens) * s.stepMs * factor))
	read := func(at float64) float64 {
		at += float64(tokens) / s.prefillPerMs * factor * cost
		first := buckthorndyke.Millis(math.Ceil(at)) - s.now + latency
		s.in(first, func() { s.noteFirst(vm, r, runner, sent) })
		s.in(first+rest-latency, func() { runner.change(-1, s.now) })
		s.in(first+rest, func() {
			s.served++
			s.end(vm, r, runner, sent)
		})
		return at
	}
	if !s.byUrgency {
		runner.readUntil = read(max(runner.readUntil, float64(s.now)))
		return
	}
	runner.unread = append(runner.unread, unreadPrompt{read: read, yields: r.yields})
	s.readNext(runner)
}

// readNext lets a runner that reads nothing read the oldest of the most urgent prompts.
func (s *site) readNext(runner *simRunner) {
	if len(runner.unread) == 0 || runner.readUntil > float64(s.now) {
		return
	}
	next := 0
	for n, p := range runner.unread {
		if !p.yields && runner.unread[next].yields {
			next = n
		}
	}
	p := runner.unread[next]
	runner.unread = slices.Delete(runner.unread, next, next+1)
	runner.readUntil = p.read(float64(s.now))
	s.in(buckthorndyke.Millis(math.Ceil(runner.readUntil))-s.now, func() { s.readNext(runner) })
}

// change changes the number of requests in flight.
func (r *simRunner) change(by int, now buckthorndyke.Millis) {
	r.busy += float64(r.inFlight) * float64(now-r.busyAt)
	r.inFlight, r.busyAt = r.inFlight+by, now
}

// noteFirst notes the first event of a response.
func (s *site) noteFirst(vm *simVM, r *simRequest, runner *simRunner, sent buckthorndyke.Millis) {
	took := s.now - r.arrived
	s.firstEvents = append(s.firstEvents, took)
	if took > r.target {
		s.late++
	}
	if r.arrived < now+s.duration-2500 {
		c := &s.classes[r.class()]
		c.firstEvents = append(c.firstEvents, took)
		if took <= r.target {
			c.inTime++
		}
	}
	s.began(vm, r, runner, sent)
}

// busiest returns the mean load of the busiest runner as a multiple of the mean of all.
func (s *site) busiest() float64 {
	sum, highest := 0.0, 0.0
	for _, r := range s.runners {
		sum += r.busy
		highest = max(highest, r.busy)
	}
	return highest * float64(len(s.runners)) / sum
}

// firstEvent returns a percentile of the time to the first event.
func (s *site) firstEvent(percent int) buckthorndyke.Millis {
	sorted := slices.Sorted(slices.Values(s.firstEvents))
	return sorted[(len(sorted)-1)*percent/100]
}

// note logs what the load has shown.
func (s *site) note(t *testing.T) {
	t.Helper()
	t.Logf("arrived %d served %d refused %d late %d rejected %d of %d attempts, busiest %.2f, first event %d %d %d ms",
		s.arrived, s.served, s.refused, s.late, s.rejected, s.attempts, s.busiest(), s.firstEvent(50), s.firstEvent(90), s.firstEvent(99))
}

// assertRejected reports an error if more than permille of the attempts were rejected.
func assertRejected(t *testing.T, s *site, permille int) {
	t.Helper()
	s.note(t)
	asserter.True(t, s.rejected*1000 <= s.attempts*permille, fmt.Sprintf("%d of %d attempts were rejected", s.rejected, s.attempts))
}

// assertRefused reports an error if more than permille of the requests were refused.
func assertRefused(t *testing.T, s *site, permille int) {
	t.Helper()
	asserter.True(t, s.refused*1000 <= s.arrived*permille, fmt.Sprintf("%d of %d requests were refused", s.refused, s.arrived))
}

// steady returns a rate that does not change.
func steady(perSecond float64) func(buckthorndyke.Millis) float64 {
	return func(buckthorndyke.Millis) float64 { return perSecond }
}
