package recorder_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/recorder"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

func TestRelay(t *testing.T) {
	t.Run("a served call is counted", func(t *testing.T) {
		text := metricsAfter(t, relayFunc(func(w buckthorndyke.RelayWriter) error { return w.Begin(http.StatusOK, nil) }), "")
		asserter.Contains(t, text, `buckthorndyke_requests_served{of="call"} 1`)
		asserter.Contains(t, text, `buckthorndyke_first_byte_ms_count{of="call"} 1`)
	})
	t.Run("a refusal is counted by its code", func(t *testing.T) {
		text := metricsAfter(t, relayFunc(func(buckthorndyke.RelayWriter) error {
			return buckthorndyke.NewRefusal(buckthorndyke.CodeDeadline, buckthorndyke.MayHaveRun, "late")
		}), "hall")
		asserter.Contains(t, text, `buckthorndyke_requests_refused{of="stream/deadline"} 1`)
	})
	t.Run("the pause between two parts of a response is recorded", func(t *testing.T) {
		text := metricsAfter(t, relayFunc(func(w buckthorndyke.RelayWriter) error {
			asserter.NoError(t, w.Write(nil))
			return w.Write(nil)
		}), "hall")
		asserter.Contains(t, text, `buckthorndyke_gap_ms_count{of="stream"} 1`)
	})
}

// relayFunc is a relay that calls a function.
type relayFunc func(w buckthorndyke.RelayWriter) error

// Relay implements buckthorndyke.Relay.
func (f relayFunc) Relay(_ context.Context, _ buckthorndyke.RelayRequest, w buckthorndyke.RelayWriter) error {
	return f(w)
}

// discardWriter discards responses.
type discardWriter struct{}

// Begin implements buckthorndyke.RelayWriter.
func (discardWriter) Begin(int, http.Header) error { return nil }

// Write implements buckthorndyke.RelayWriter.
func (discardWriter) Write([]byte) error { return nil }

// metricsAfter returns the metrics as text after one request for model, or for a
// plain service if model is empty.
func metricsAfter(t *testing.T, r buckthorndyke.Relay, model buckthorndyke.ModelID) string {
	t.Helper()
	m := reporter.NewMetrics()
	_ = recorder.NewRelay(r, m, timekeeper.NewRealClock()).Relay(t.Context(), buckthorndyke.RelayRequest{Model: model}, discardWriter{})
	return string(m.Text())
}
