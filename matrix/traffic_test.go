package matrix_test

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// ledger holds all that callers and operators have asked for.
type history struct {
	rulesChanges  []rulesChange
	serviceCalls []serviceCall
	requests []request
	// rules counts the texts of rules, so that no two are equal.
	ruleVariants int
}

// request is a request to a model.
type request struct {
	outcome tester.Answer
	ended  bool
	// gone is set if the caller may have left.
	cancelable  bool
	model buckthorndyke.ModelID
	// must is the promise that is broken unless the request is served, or empty.
	requiredBy   guarantee
	prompt string
	vm     buckthorndyke.VMID
}

// booking is a call that must not run twice.
type serviceCall struct {
	ended  bool
	err    error
	cancelable   bool
	id     buckthorndyke.RequestID
	key    string
	killed bool
	requiredBy   guarantee
	vm     buckthorndyke.VMID
	took   buckthorndyke.Millis
}

// applied is an operator's change of the rules.
type rulesChange struct {
	base   buckthorndyke.Offset
	err    error
	result buckthorndyke.ProposalResult
}

// book makes a booking through the entry VM and, later, again through the
// others, and one without a key.
func (r *run) callServiceRepeatedly() {
	key := r.fleet.NewKey()
	r.callService(r.callerCtx, r.node(r.entry), key, "")
	r.callService(r.callerCtx, r.node(r.entry), "", "")
	again := []*tester.Node{r.node(r.counterpart(r.entry)), r.node(r.entry)}
	go func() {
		r.sleep(2 * buckthorndyke.Second)
		for _, n := range again {
			r.callService(r.ctx, n, key, "")
		}
	}()
}

// call makes a booking and does not wait.
func (r *run) callService(ctx context.Context, n *tester.Node, key string, must guarantee) {
	b := serviceCall{cancelable: ctx == r.callerCtx, id: buckthorndyke.RequestID(uuid.NewString()), key: key, requiredBy: must, vm: n.Self.VM}
	go func() {
		i := get(r.ctx, r.history, func(l *history) int {
			l.serviceCalls = append(l.serviceCalls, b)
			return len(l.serviceCalls) - 1
		})
		begun := r.fleet.Clock.Now()
		_, b.err = r.fleet.CallOn(ctx, n, tester.UrgentToken, key, b.id)
		b.ended, b.killed, b.took = true, n.Link.Killed(), r.fleet.Clock.Now()-begun
		r.history.update(r.ctx, func(l *history) { l.serviceCalls[i] = b })
	}()
}

// flood sends more requests than the fleet can serve in time.
func (r *run) flood(token string) {
	for i := range floodSize {
		r.generate(r.ctx, r.fleet.Nodes[i%len(r.fleet.Nodes)], token, model, "")
	}
}

// generate sends a request and does not wait.
func (r *run) generate(ctx context.Context, n *tester.Node, token string, m buckthorndyke.ModelID, must guarantee) {
	q := request{cancelable: ctx == r.callerCtx, model: m, requiredBy: must, vm: n.Self.VM}
	go func() {
		i := get(r.ctx, r.history, func(l *history) int {
			l.requests = append(l.requests, q)
			return len(l.requests) - 1
		})
		q.prompt = fmt.Sprintf("request %d", i)
		q.outcome = r.fleet.GenerateOn(ctx, n, token, m, q.prompt)
		q.ended = true
		r.history.update(r.ctx, func(l *history) { l.requests[i] = q })
	}()
}

// propose changes the rules through nodes, all from the same version, and does
// not wait.
func (r *run) propose(text func() string, through ...*tester.Node) {
	go func() {
		ctx, cancel := context.WithCancel(r.ctx)
		defer cancel()
		select {
		case p := <-through[0].Tree.Follower().Subscribe(ctx):
			for _, n := range through {
				go r.proposeFrom(p.State.RulesVersion, n, text())
			}
		case <-ctx.Done():
		}
	}()
}

// proposeFrom changes a version of the rules through a node.
func (r *run) proposeFrom(base buckthorndyke.Offset, n *tester.Node, text string) {
	a := rulesChange{base: base}
	a.result, a.err = n.Tree.Proposer().Propose(r.ctx, buckthorndyke.RulesChange{Base: base, Operator: "tester", Text: text})
	r.history.update(r.ctx, func(l *history) { l.rulesChanges = append(l.rulesChanges, a) })
}

// request sends a request to the cold model through the entry VM.
func (r *run) request() {
	r.generate(r.callerCtx, r.node(r.entry), tester.UrgentToken, model, "")
}

// others sends the requests that run beside the one that is struck.
func (r *run) sendConcurrentRequests() {
	r.generate(r.ctx, r.node(r.owner), tester.OrdinaryToken, "gym", "")
	r.generate(r.ctx, r.node(r.entry), tester.FreeToken, "court", "")
	key := r.fleet.NewKey()
	r.callService(r.ctx, r.node(r.owner), key, "")
	r.callService(r.ctx, r.node(r.entry), key, "")
}
