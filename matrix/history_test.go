package matrix_test

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// history records the requests of callers and operators, and their outcomes.
type history struct {
	requests []request
	// ruleVariants counts the generated rules, so that no two texts are equal.
	ruleVariants int
	rulesChanges []rulesChange
	serviceCalls []serviceCall
}

// request is a request to a model.
type request struct {
	// cancelable is set if the caller may cancel the request.
	cancelable bool
	ended      bool
	model      buckthorndyke.ModelID
	outcome    tester.Outcome
	prompt     string
	// requiredBy is the guarantee that is violated unless the request is served, or
	// empty.
	requiredBy guarantee
	vm         buckthorndyke.VMID
}

// serviceCall is a call of the plain service that must not run twice.
type serviceCall struct {
	cancelable bool
	ended      bool
	err        error
	id         buckthorndyke.RequestID
	key        string
	killed     bool
	requiredBy guarantee
	took       buckthorndyke.Millis
	vm         buckthorndyke.VMID
}

// rulesChange is a rules change that an operator proposed.
type rulesChange struct {
	base   buckthorndyke.Offset
	err    error
	result buckthorndyke.ProposalResult
}

// callService starts a service call and does not wait. An empty key sends none.
func (r *run) callService(ctx context.Context, n *tester.Node, key string, requiredBy guarantee) {
	c := serviceCall{cancelable: ctx == r.callerCtx, id: buckthorndyke.RequestID(uuid.NewString()), key: key, requiredBy: requiredBy, vm: n.Self.VM}
	go func() {
		i := get(r.ctx, r.history, func(h *history) int {
			h.serviceCalls = append(h.serviceCalls, c)
			return len(h.serviceCalls) - 1
		})
		begun := r.fleet.Clock.Now()
		_, c.err = r.fleet.CallOn(ctx, n, tester.UrgentToken, key, c.id)
		c.ended, c.killed, c.took = true, n.Process.Killed(), r.fleet.Clock.Now()-begun
		r.history.update(r.ctx, func(h *history) { h.serviceCalls[i] = c })
	}()
}

// callServiceRepeatedly starts a call with an idempotency key and one without
// through the entry VM, and repeats the key 2 s later through the entry VM and its
// counterpart.
func (r *run) callServiceRepeatedly() {
	key := r.fleet.NewKey()
	r.callService(r.callerCtx, r.node(r.entry), key, "")
	r.callService(r.callerCtx, r.node(r.entry), "", "")
	repeatThrough := []*tester.Node{r.node(r.counterpart(r.entry)), r.node(r.entry)}
	go func() {
		r.sleep(2 * buckthorndyke.Second)
		for _, n := range repeatThrough {
			r.callService(r.ctx, n, key, "")
		}
	}()
}

// flood sends more requests than the fleet can serve in time.
func (r *run) flood(token string) {
	for i := range floodSize {
		r.generate(r.ctx, r.fleet.Nodes[i%len(r.fleet.Nodes)], token, model, "")
	}
}

// generate starts a request to a model and does not wait.
func (r *run) generate(ctx context.Context, n *tester.Node, token string, m buckthorndyke.ModelID, requiredBy guarantee) {
	q := request{cancelable: ctx == r.callerCtx, model: m, requiredBy: requiredBy, vm: n.Self.VM}
	go func() {
		i := get(r.ctx, r.history, func(h *history) int {
			h.requests = append(h.requests, q)
			return len(h.requests) - 1
		})
		q.prompt = fmt.Sprintf("request %d", i)
		q.outcome = r.fleet.GenerateOn(ctx, n, token, m, q.prompt)
		q.ended = true
		r.history.update(r.ctx, func(h *history) { h.requests[i] = q })
	}()
}

// propose proposes rules through each node, all based on the same version, and does
// not wait.
func (r *run) propose(text func() string, through ...*tester.Node) {
	go func() {
		ctx, cancel := context.WithCancel(r.ctx)
		defer cancel()
		select {
		case u := <-through[0].Tree.Follower().Subscribe(ctx):
			for _, n := range through {
				go r.proposeFrom(u.State.RulesVersion, n, text())
			}
		case <-ctx.Done():
		}
	}()
}

// proposeFrom proposes a rules change based on version base through a node.
func (r *run) proposeFrom(base buckthorndyke.Offset, n *tester.Node, text string) {
	c := rulesChange{base: base}
	c.result, c.err = n.Tree.Proposer().Propose(r.ctx, buckthorndyke.RulesChange{Base: base, Operator: "tester", Text: text})
	r.history.update(r.ctx, func(h *history) { h.rulesChanges = append(h.rulesChanges, c) })
}

// request starts a request for the cold model through the entry VM.
func (r *run) request() {
	r.generate(r.callerCtx, r.node(r.entry), tester.UrgentToken, model, "")
}

// sendConcurrentRequests starts the requests that run beside the one at whose step the
// fault is injected.
func (r *run) sendConcurrentRequests() {
	r.generate(r.ctx, r.node(r.owner), tester.OrdinaryToken, "gym", "")
	r.generate(r.ctx, r.node(r.entry), tester.FreeToken, "court", "")
	key := r.fleet.NewKey()
	r.callService(r.ctx, r.node(r.owner), key, "")
	r.callService(r.ctx, r.node(r.entry), key, "")
}
