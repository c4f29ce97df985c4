package recorder

import (
	"context"
	"net/http"

	"github.com/buckthorndyke/buckthorndyke"
)

// Labels of relayed requests to plain services and to models.
const (
	labelCall   = "call"
	labelStream = "stream"
)

// Relay wraps a relay and records the requests by outcome, the time until their
// response begins and the pauses in it.
type Relay struct {
	clock buckthorndyke.Clock
	meter buckthorndyke.Meter
	relay buckthorndyke.Relay
}

// NewRelay returns a relay that wraps r and records to meter.
func NewRelay(r buckthorndyke.Relay, meter buckthorndyke.Meter, clock buckthorndyke.Clock) *Relay {
	return &Relay{clock: clock, meter: meter, relay: r}
}

// Relay implements buckthorndyke.Relay.
func (r *Relay) Relay(ctx context.Context, request buckthorndyke.RelayRequest, w buckthorndyke.RelayWriter) error {
	label := labelOf(request)
	err := r.relay.Relay(ctx, request, &recordingWriter{RelayWriter: w, arrived: request.Arrived, label: label, relay: r})
	if err != nil {
		r.countRefused(label, err)
		return err
	}
	r.meter.Count(buckthorndyke.MetricRequestsServed.Of(label), 1)
	return nil
}

// Screen implements buckthorndyke.Screener. Without a screener it refuses nothing.
func (r *Relay) Screen(ctx context.Context, request buckthorndyke.RelayRequest) error {
	screener, ok := r.relay.(buckthorndyke.Screener)
	if !ok {
		return nil
	}
	err := screener.Screen(ctx, request)
	if err != nil {
		r.countRefused(labelOf(request), err)
	}
	return err
}

// countRefused counts a request that was refused.
func (r *Relay) countRefused(label string, err error) {
	r.meter.Count(buckthorndyke.MetricRequestsRefused.Of(label).Of(string(buckthorndyke.RefusalOf(err).Code())), 1)
}

// labelOf returns the label of a request.
func labelOf(request buckthorndyke.RelayRequest) string {
	if request.Model != "" {
		return labelStream
	}
	return labelCall
}

// recordingWriter wraps a writer and records when the response begins and the
// pauses between its parts.
type recordingWriter struct {
	buckthorndyke.RelayWriter
	arrived buckthorndyke.Millis
	label   string
	// lastWrite is the instant at which the last part was written, or 0.
	lastWrite buckthorndyke.Millis
	relay     *Relay
}

// Begin implements buckthorndyke.RelayWriter.
func (w *recordingWriter) Begin(status int, header http.Header) error {
	w.relay.meter.Observe(buckthorndyke.MetricFirstByte.Of(w.label), w.relay.clock.Now()-w.arrived)
	return w.RelayWriter.Begin(status, header)
}

// Write implements buckthorndyke.RelayWriter.
func (w *recordingWriter) Write(part []byte) error {
	now := w.relay.clock.Now()
	if w.lastWrite > 0 {
		w.relay.meter.Observe(buckthorndyke.MetricGap.Of(w.label), now-w.lastWrite)
	}
	w.lastWrite = now
	return w.RelayWriter.Write(part)
}
