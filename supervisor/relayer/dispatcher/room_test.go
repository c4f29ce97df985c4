package dispatcher_test

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/dispatcher"
)

// full is the response of a runner whose batch is full.
var full = scriptedResponse{notRun: true, status: http.StatusServiceUnavailable}

func TestServerRoom(t *testing.T) {
	t.Run("requests beyond the limit wait and are sent when a response ends", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			// An unknown fleet begins with one request at a runner of 8 slots.
			s.pool.setResponses(scriptedResponse{body: "data: well\n\n", delay: 300})
			ended := make(chan time.Duration, 2)
			began := time.Now()
			for range 2 {
				go func() {
					err := s.relayBeside(streamRequest("/stream/", hall))
					asserter.NoError(t, err)
					ended <- time.Since(began)
				}()
			}
			time.Sleep(100 * time.Millisecond)
			asserter.Equal(t, len(s.pool.sent()), 1)
			asserter.Equal(t, <-ended, 300*time.Millisecond)
			asserter.Equal(t, <-ended, 300*time.Millisecond)
			asserter.Equal(t, len(s.pool.sent()), 2)
		})
	})
	t.Run("a runner that rejects a request is asked again when its limit says so, not at once", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(full)
			began := time.Now()
			w, err := s.relay(streamRequest("/stream/", hall))
			asserter.NoError(t, err)
			asserter.Equal(t, w.status, http.StatusOK)
			waited := time.Since(began)
			asserter.True(t, waited >= 30*time.Millisecond && waited <= 90*time.Millisecond, "the wait does not follow from the limit: "+waited.String())
		})
	})
	t.Run("a request whose model is loaded waits for room longer than for a model that is not being loaded", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{body: "data: well\n\n", delay: 1100})
			for range 2 {
				go func() {
					err := s.relayBeside(streamRequest("/stream/", hall))
					asserter.NoError(t, err)
				}()
			}
			time.Sleep(1200 * time.Millisecond)
			synctest.Wait()
			asserter.Equal(t, len(s.pool.sent()), 2)
		})
	})
	t.Run("room is offered to requests that can still meet their target first, and then to the oldest", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			targeted := routing()
			targeted.Version = 2
			var routes []buckthorndyke.Route
			for r := range targeted.All() {
				r.LatencyTarget = 800
				routes = append(routes, r)
			}
			asserter.NoError(t, s.routings.Publish(s.ctx, targeted.WithRoutes(routes)))
			synctest.Wait()
			s.pool.setResponses(scriptedResponse{body: "data: well\n\n", delay: 1000}, scriptedResponse{body: "data: well\n\n", delay: 100},
				scriptedResponse{body: "data: well\n\n", delay: 100}, scriptedResponse{body: "data: well\n\n", delay: 100}, scriptedResponse{body: "data: well\n\n", delay: 100})
			ended := make(chan struct{})
			for n, at := range []buckthorndyke.Millis{0, 50, 100, 600, 700} {
				go func() {
					time.Sleep(at.Duration())
					r := streamRequest("/stream/", hall)
					r.Target = fmt.Sprintf("/stream/%d", n)
					_ = s.relayBeside(r)
					ended <- struct{}{}
				}()
			}
			for range 5 {
				<-ended
			}
			var order []string
			for _, d := range s.pool.sent() {
				order = append(order, d.Request.Target)
			}
			// Requests that are sent at the same instant reach the pool in any order.
			slices.Sort(order[1:3])
			slices.Sort(order[3:])
			asserter.Equal(t, order, []string{"/stream/0", "/stream/3", "/stream/4", "/stream/1", "/stream/2"})
		})
	})
	t.Run("limited servers are logged, and not for each rejection", func(t *testing.T) {
		lines := &bytes.Buffer{}
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(full, full)
			_, err := s.relay(streamRequest("/stream/", hall))
			asserter.NoError(t, err)
			asserter.Equal(t, bytes.Count(lines.Bytes(), []byte(`"servers-limited"`)), 1)
			asserter.Contains(t, lines.String(), `"lowest":["r1 0 of 0.75`)
		}, dispatcher.WithLogger(zerolog.New(lines)), dispatcher.WithRetryBurst(500))
	})
	t.Run("limits are measured", func(t *testing.T) {
		m := &meter{values: make(map[buckthorndyke.Metric]int64)}
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(full)
			_, err := s.relay(streamRequest("/stream/", hall))
			asserter.NoError(t, err)
			_, err = s.dispatcher.Demand(s.ctx, false)
			asserter.NoError(t, err)
			asserter.Equal(t, m.values[buckthorndyke.MetricRequestsRejected], 1)
			asserter.Equal(t, m.values[buckthorndyke.MetricServersLimited], 1)
		}, dispatcher.WithMeter(m))
	})
}

// relayBeside sends a request while others are in progress.
func (s *fixture) relayBeside(r buckthorndyke.RelayRequest) error {
	r.Arrived, r.ID = s.clock.Now(), "beside"
	return s.dispatcher.Relay(s.ctx, r, &response{})
}

// meter implements buckthorndyke.Meter. Only the dispatcher's task writes to it.
type meter struct {
	// observed counts the observations.
	observed int
	values   map[buckthorndyke.Metric]int64
}

// Count implements buckthorndyke.Meter.
func (m *meter) Count(name buckthorndyke.Metric, n int64) { m.values[name] += n }

// Observe implements buckthorndyke.Meter.
func (m *meter) Observe(buckthorndyke.Metric, buckthorndyke.Millis) { m.observed++ }

// Set implements buckthorndyke.Meter.
func (m *meter) Set(name buckthorndyke.Metric, value int64) { m.values[name] = value }
