package matrix_test

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/parser"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// decodedEvent is an event of a call with its log records decoded.
type decodedEvent struct {
	tester.CallEvent
	// changes are the changes of the proposals that are appended or were read.
	changes []buckthorndyke.Change
	// claims are the claim records that are appended or were read.
	claims []buckthorndyke.ClaimRecord
}

// delivery is a job or a call that was sent to a backend server.
type delivery struct {
	address string
	at      buckthorndyke.Millis
}

// observerState is the state of the task that observes all calls of a fleet, and
// injects faults when a call reaches the step.
type observerState struct {
	deliveries []delivery
	encoder    buckthorndyke.Encoder
	inject     func(decodedEvent) tester.Fault
	// killed and paused are the VMs whose processes were killed or paused.
	killed, paused map[buckthorndyke.VMID]bool
	match          func(decodedEvent) bool
	// remaining is the number of injections that are still to come.
	remaining    int
	triggerCount int
	// triggered is closed at the first injection.
	triggered chan struct{}
}

func newObserverState() observerState {
	return observerState{
		encoder: encoder.NewProto(parser.NewRules()),
		killed:  map[buckthorndyke.VMID]bool{}, paused: map[buckthorndyke.VMID]bool{},
	}
}

// arm calls inject for the next n events that match. The channel that it returns is
// closed at the first one.
func arm(
	ctx context.Context, observer *actor[observerState], n int, match func(decodedEvent) bool, inject func(decodedEvent) tester.Fault,
) <-chan struct{} {
	triggered := make(chan struct{})
	observer.update(ctx, func(s *observerState) {
		s.remaining, s.match, s.inject, s.triggered, s.triggerCount = n, match, inject, triggered, 0
	})
	return triggered
}

// observe returns a tester.Observer that passes events to the task observer until ctx
// ends. It uses ctx, not the context of the call, so that the task also receives the
// events of cancelled calls.
func observe(ctx context.Context, observer *actor[observerState]) tester.Observer {
	return func(_ context.Context, ev tester.CallEvent) tester.Fault {
		return get(ctx, observer, func(s *observerState) tester.Fault { return s.handle(ev) })
	}
}

// handle records the work that is sent, and injects the fault if the event matches.
func (s *observerState) handle(ev tester.CallEvent) tester.Fault {
	work := ev.Call == tester.CallGenerate || ev.Call == tester.CallService
	if work && ev.Phase == tester.PhaseSent {
		s.deliveries = append(s.deliveries, delivery{address: ev.Address, at: ev.At})
	}
	if s.remaining == 0 {
		return tester.Fault{}
	}
	decoded := s.decode(ev)
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

// decode returns an event with its log records decoded.
func (s *observerState) decode(ev tester.CallEvent) decodedEvent {
	decoded := decodedEvent{CallEvent: ev}
	var records [][]byte
	switch {
	case ev.Call == tester.CallAppend:
		data, _ := ev.Request.([]byte)
		records = append(records, data)
	case ev.Call == tester.CallRead && ev.Phase == tester.PhaseReplied:
		batch, _ := ev.Reply.(buckthorndyke.LogBatch)
		for _, e := range batch.Entries {
			records = append(records, e.Data)
		}
	}
	for _, data := range records {
		if ev.Stream != buckthorndyke.ControlStream {
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
