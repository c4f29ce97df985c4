package matrix_test

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/parser"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// point is a point of a call with its records decoded.
type decodedEvent struct {
	tester.Point
	// changes are those of the proposals that were appended or read.
	changes []buckthorndyke.Change
	// claims are the claim records that were appended or read.
	claims []buckthorndyke.ClaimRecord
}

// delivery is a piece of work that was sent to a backend server.
type delivery struct {
	address string
	at      buckthorndyke.Millis
}

// watch sees all calls of a fleet. It strikes when a call reaches a step.
type observerState struct {
	deliveries []delivery
	encoder    buckthorndyke.Encoder
	// killed and paused are the VMs whose processes were disturbed.
	killed, paused map[buckthorndyke.VMID]bool
	// left is the number of strikes that are still to come.
	remaining   int
	match  func(decodedEvent) bool
	inject func(decodedEvent) tester.Fault
	// struck is closed at the first strike.
	triggered  chan struct{}
	triggerCount int
}

func newObserverState() observerState {
	return observerState{
		encoder: encoder.NewProto(parser.NewRules()),
		killed:  map[buckthorndyke.VMID]bool{}, paused: map[buckthorndyke.VMID]bool{},
	}
}

// arm lets the next n points that match be struck. The channel that it returns
// is closed at the first.
func arm(
	ctx context.Context, w *actor[observerState], n int, match func(decodedEvent) bool, strike func(decodedEvent) tester.Fault,
) <-chan struct{} {
	struck := make(chan struct{})
	w.update(ctx, func(s *observerState) {
		s.remaining, s.match, s.inject, s.triggered, s.triggerCount = n, match, strike, struck, 0
	})
	return struck
}

// observe returns the observer that shows points to w until ctx ends, also those
// of calls whose own context has ended.
func observe(ctx context.Context, w *actor[observerState]) tester.Observer {
	return func(_ context.Context, p tester.Point) tester.Fault {
		return get(ctx, w, func(s *observerState) tester.Fault { return s.handle(p) })
	}
}

// see notes a point and strikes if it is the one that was waited for.
func (s *observerState) handle(p tester.Point) tester.Fault {
	work := p.Call == tester.CallGenerate || p.Call == tester.CallService
	if work && p.Phase == tester.PhaseSent {
		s.deliveries = append(s.deliveries, delivery{address: p.Address, at: p.At})
	}
	if s.remaining == 0 {
		return tester.Fault{}
	}
	decoded := s.decode(p)
	if !s.match(decoded) {
		return tester.Fault{}
	}
	s.remaining--
	s.triggerCount++
	if s.triggerCount == 1 {
		close(s.triggered)
	}
	return s.inject(decoded)
}

// decode decodes the records of a point.
func (s *observerState) decode(p tester.Point) decodedEvent {
	decoded := decodedEvent{Point: p}
	var records [][]byte
	switch {
	case p.Call == tester.CallAppend:
		data, _ := p.Request.([]byte)
		records = append(records, data)
	case p.Call == tester.CallRead && p.Phase == tester.PhaseAnswered:
		batch, _ := p.Answer.(buckthorndyke.LogBatch)
		for _, e := range batch.Entries {
			records = append(records, e.Data)
		}
	}
	for _, data := range records {
		if p.Stream != buckthorndyke.ControlStream {
			if claim, err := encoder.DecodeClaim(data); err == nil {
				decoded.claims = append(decoded.claims, claim)
			}
			continue
		}
		if proposal, err := s.encoder.DecodeProposal(data); err == nil {
			decoded.changes = append(decoded.changes, proposal.Change)
		}
	}
	return decoded
}
