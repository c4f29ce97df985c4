package recorder

import (
	"context"
	"net/http"

	"github.com/buckthorndyke/buckthorndyke"
)

// Labels of relayed requests.
const (
	labelCall   = "call"
	labelStream = "stream"
)

// Relay relays by another relay and records what becomes of the requests, and how
// long they wait for the beginning of their answer.
type Relay struct {
	clock buckthorndyke.Clock
	meter buckthorndyke.Meter
	relay buckthorndyke.Relay
}

// NewRelay returns a relay that records the requests to r.
func NewRelay(r buckthorndyke.Relay, meter buckthorndyke.Meter, clock buckthorndyke.Clock) *Relay {
	return &Relay{clock: clock, meter: meter, relay: r}
}

// Relay implements buckthorndyke.Relay.
func (r *Relay) Relay(ctx context.Context, request buckthorndyke.RelayRequest, w buckthorndyke.RelayWriter) error {
	label := labelCall
	if request.Model != "" {
		label = labelStream
	}
	err := r.relay.Relay(ctx, request, &recordedWriter{RelayWriter: w, began: request.Arrived, label: label, recorder: r})
	if err != nil {
		r.meter.Count(buckthorndyke.MetricRequestsRefused.Of(label).Of(string(buckthorndyke.RefusalOf(err).Code())), 1)
		return err
	}
	r.meter.Count(buckthorndyke.MetricRequestsServed.Of(label), 1)
	return nil
}

// recordedWriter records when an answer begins and the longest pause in it.
type recordedWriter struct {
	buckthorndyke.RelayWriter
	began    buckthorndyke.Millis
	label    string
	recorder *Relay
	// written is the instant of the last part, or 0.
	written buckthorndyke.Millis
}

// Begin implements buckthorndyke.RelayWriter.
func (w *recordedWriter) Begin(status int, header http.Header) error {
	w.recorder.meter.Observe(buckthorndyke.MetricFirstByte.Of(w.label), w.recorder.clock.Now()-w.began)
	return w.RelayWriter.Begin(status, header)
}

// Write implements buckthorndyke.RelayWriter.
func (w *recordedWriter) Write(part []byte) error {
	now := w.recorder.clock.Now()
	if w.written > 0 {
		w.recorder.meter.Observe(buckthorndyke.MetricGap.Of(w.label), now-w.written)
	}
	w.written = now
	return w.RelayWriter.Write(part)
}
