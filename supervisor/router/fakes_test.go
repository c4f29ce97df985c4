package router_test

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
)

// Call implements buckthorndyke.Service.
func (f *fixture) Call(
	ctx context.Context, address string, call buckthorndyke.ServiceCall,
) (buckthorndyke.ServiceResponse, error) {
	f.calledServers <- address
	return f.servers[address](ctx, call)
}

// List implements buckthorndyke.VMList.
func (f *fixture) List(context.Context) ([]buckthorndyke.VM, error) {
	return f.vms, nil
}

// Propose implements buckthorndyke.Proposer.
func (f *fixture) Propose(_ context.Context, c buckthorndyke.Change) (buckthorndyke.ProposalResult, error) {
	if f.logDown {
		select {
		case <-f.logUp:
		default:
			return buckthorndyke.ProposalResult{}, errFake
		}
	}
	f.changes <- c
	return buckthorndyke.ProposalResult{Accepted: true}, nil
}

// Subscribe implements buckthorndyke.Follower.
func (f *fixture) Subscribe(context.Context) <-chan buckthorndyke.StateUpdate {
	return f.updates
}

// fakePeers returns fake peers by the name of their VM.
type fakePeers struct{ f *fixture }

func (p fakePeers) At(address string) buckthorndyke.Peer {
	return fakePeer{address: address, f: p.f}
}

// fakePeer is a peer that only implements buckthorndyke.TicketIssuer.
type fakePeer struct {
	buckthorndyke.Peer
	address string
	f       *fixture
}

func (p fakePeer) Ticket(ctx context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
	p.f.ticketRequests <- r
	if issue, ok := p.f.issuers[p.address]; ok {
		return issue(ctx, r)
	}
	return p.f.grant(r), nil
}

// grant returns a ticket that is granted at once.
func (f *fixture) grant(r buckthorndyke.TicketRequest) fakeTicket {
	return f.ticket(granted(r.Runner))
}

// ticket returns a ticket with the given events. Its event stream then stays open.
func (f *fixture) ticket(events ...buckthorndyke.TicketEvent) fakeTicket {
	ticket := fakeTicket{closed: f.outcomes, events: make(chan buckthorndyke.TicketEvent, recordCapacity)}
	for _, e := range events {
		ticket.events <- e
	}
	return ticket
}

// granted returns the event that grants a ticket.
func granted(runner buckthorndyke.RunnerID) buckthorndyke.TicketEvent {
	return buckthorndyke.TicketEvent{Address: string(runner), Kind: buckthorndyke.TicketGranted}
}

// fakeTicket is a ticket with preset events. Next fails once events is closed.
type fakeTicket struct {
	closed chan<- buckthorndyke.TicketOutcome
	events chan buckthorndyke.TicketEvent
}

func (t fakeTicket) Close(outcome buckthorndyke.TicketOutcome) { t.closed <- outcome }

func (t fakeTicket) Next(ctx context.Context) (buckthorndyke.TicketEvent, error) {
	select {
	case e, ok := <-t.events:
		if !ok {
			return e, errFake
		}
		return e, nil
	case <-ctx.Done():
		return buckthorndyke.TicketEvent{}, ctx.Err()
	}
}

// fakeEngines returns fake engines by the name of their runner.
type fakeEngines struct{ f *fixture }

func (e fakeEngines) At(address string) buckthorndyke.Engine {
	return fakeEngine{address: address, f: e.f}
}

// fakeEngine is an engine that only runs jobs and reports its status.
type fakeEngine struct {
	buckthorndyke.Engine
	address string
	f       *fixture
}

func (e fakeEngine) Cancel(_ context.Context, job buckthorndyke.JobID) error {
	e.f.canceledJobs <- job
	return nil
}

func (e fakeEngine) Generate(ctx context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
	e.f.startedJobs <- job
	if run, ok := e.f.engineJobs[e.address]; ok {
		return run(ctx, job)
	}
	return remainingTokens(job), nil
}

func (e fakeEngine) Status(context.Context) (buckthorndyke.EngineStatus, error) {
	e.f.statusCalls <- e.address
	status := e.f.statuses[e.address]
	status.Incarnation = e.f.incarnation
	return status, nil
}

// fakeStream returns tokens and then fails, or blocks if silent is set.
type fakeStream struct {
	silent bool
	tokens chan buckthorndyke.Token
}

func (s fakeStream) Close() error { return nil }

func (s fakeStream) Next(ctx context.Context) (buckthorndyke.Token, error) {
	select {
	case t := <-s.tokens:
		return t, nil
	default:
	}
	if s.silent {
		<-ctx.Done()
		return buckthorndyke.Token{}, ctx.Err()
	}
	return buckthorndyke.Token{}, errFake
}

// responseTokens is the response of all fake engines.
var responseTokens = []string{"a", "b", "c", "d"}

// streamOf returns a stream of tokens.
func streamOf(tokens ...buckthorndyke.Token) fakeStream {
	s := fakeStream{tokens: make(chan buckthorndyke.Token, recordCapacity)}
	for _, t := range tokens {
		s.tokens <- t
	}
	return s
}

// tokenRange returns the tokens of the response from index first up to, but not
// including, end.
func tokenRange(first, end int) []buckthorndyke.Token {
	var tokens []buckthorndyke.Token
	for i := first; i < end; i++ {
		tokens = append(tokens, buckthorndyke.Token{Index: i, Text: responseTokens[i]})
	}
	return tokens
}

// remainingTokens returns a stream of the tokens that job has yet to deliver, including
// the last token.
func remainingTokens(job buckthorndyke.Job) fakeStream {
	tokens := tokenRange(len(job.Resume), len(responseTokens))
	return streamOf(append(tokens, buckthorndyke.Token{Index: len(responseTokens), Last: true})...)
}

var errFake = errors.New("fake")
