package matrix_test

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// ledger holds all that callers and operators have asked for.
type ledger struct {
	applies  []applied
	bookings []booking
	requests []request
	// rules counts the texts of rules, so that no two are equal.
	rules int
}

// request is a request to a model.
type request struct {
	answer tester.Outcome
	ended  bool
	// gone is set if the caller may have left.
	gone  bool
	model buckthorndyke.ModelID
	// must is the promise that is broken unless the request is served, or empty.
	must   promise
	prompt string
	vm     buckthorndyke.VMID
}

// booking is a call that must not run twice.
type booking struct {
	ended  bool
	err    error
	gone   bool
	id     buckthorndyke.RequestID
	key    string
	killed bool
	must   promise
	vm     buckthorndyke.VMID
	took   buckthorndyke.Millis
}

// applied is an operator's change of the rules.
type applied struct {
	base   buckthorndyke.Offset
	err    error
	ruling buckthorndyke.ProposalResult
}

// book makes a booking through the entry VM and, later, again through the
// others, and one without a key.
func (r *run) book() {
	key := r.f.NewKey()
	r.call(r.caller, r.node(r.entry), key, "")
	r.call(r.caller, r.node(r.entry), "", "")
	again := []*tester.Node{r.node(r.other(r.entry)), r.node(r.entry)}
	go func() {
		r.sleep(2 * buckthorndyke.Second)
		for _, n := range again {
			r.call(r.ctx, n, key, "")
		}
	}()
}

// call makes a booking and does not wait.
func (r *run) call(ctx context.Context, n *tester.Node, key string, must promise) {
	b := booking{gone: ctx == r.caller, id: buckthorndyke.RequestID(uuid.NewString()), key: key, must: must, vm: n.Self.VM}
	go func() {
		i := get(r.ctx, r.ledger, func(l *ledger) int {
			l.bookings = append(l.bookings, b)
			return len(l.bookings) - 1
		})
		begun := r.f.Clock.Now()
		_, b.err = r.f.CallOn(ctx, n, tester.UrgentToken, key, b.id)
		b.ended, b.killed, b.took = true, n.Process.Killed(), r.f.Clock.Now()-begun
		r.ledger.tell(r.ctx, func(l *ledger) { l.bookings[i] = b })
	}()
}

// flood sends more requests than the fleet can serve in time.
func (r *run) flood(token string) {
	for i := range floodSize {
		r.generate(r.ctx, r.f.Nodes[i%len(r.f.Nodes)], token, model, "")
	}
}

// generate sends a request and does not wait.
func (r *run) generate(ctx context.Context, n *tester.Node, token string, m buckthorndyke.ModelID, must promise) {
	q := request{gone: ctx == r.caller, model: m, must: must, vm: n.Self.VM}
	go func() {
		i := get(r.ctx, r.ledger, func(l *ledger) int {
			l.requests = append(l.requests, q)
			return len(l.requests) - 1
		})
		q.prompt = fmt.Sprintf("request %d", i)
		q.answer = r.f.GenerateOn(ctx, n, token, m, q.prompt)
		q.ended = true
		r.ledger.tell(r.ctx, func(l *ledger) { l.requests[i] = q })
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
	a := applied{base: base}
	a.ruling, a.err = n.Tree.Proposer().Propose(r.ctx, buckthorndyke.RulesChange{Base: base, Operator: "tester", Text: text})
	r.ledger.tell(r.ctx, func(l *ledger) { l.applies = append(l.applies, a) })
}

// request sends a request to the cold model through the entry VM.
func (r *run) request() {
	r.generate(r.caller, r.node(r.entry), tester.UrgentToken, model, "")
}

// others sends the requests that run beside the one that is struck.
func (r *run) others() {
	r.generate(r.ctx, r.node(r.owner), tester.OrdinaryToken, "gym", "")
	r.generate(r.ctx, r.node(r.entry), tester.FreeToken, "court", "")
	key := r.f.NewKey()
	r.call(r.ctx, r.node(r.owner), key, "")
	r.call(r.ctx, r.node(r.entry), key, "")
}
