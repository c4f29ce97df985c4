package reporter

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/buckthorndyke/buckthorndyke"
)

// Size of a distribution's sample, and the factor by which it favors newer values.
const (
	sampleSize = 1028
	sampleBias = 0.015
)

// Metrics implements buckthorndyke.MetricsReporter with a registry. It ignores a
// measurement for a metric that already exists as another kind.
type Metrics struct {
	registry metrics.Registry
}

// NewMetrics returns a reporter without metrics.
func NewMetrics() *Metrics {
	return &Metrics{registry: metrics.NewRegistry()}
}

// Count implements buckthorndyke.Meter.
func (m *Metrics) Count(name buckthorndyke.Metric, n int64) {
	if c, ok := m.registry.GetOrRegister(string(name), metrics.NewCounter).(metrics.Counter); ok {
		c.Inc(n)
	}
}

// MarshalJSON implements buckthorndyke.MetricsReporter.
func (m *Metrics) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(m.registry.GetAll())
	return data, errors.Wrap(err, "encode metrics")
}

// Observe implements buckthorndyke.Meter.
func (m *Metrics) Observe(name buckthorndyke.Metric, d buckthorndyke.Millis) {
	newHistogram := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleBias))
	}
	if h, ok := m.registry.GetOrRegister(string(name), newHistogram).(metrics.Histogram); ok {
		h.Update(int64(d))
	}
}

// Set implements buckthorndyke.Meter.
func (m *Metrics) Set(name buckthorndyke.Metric, value int64) {
	if g, ok := m.registry.GetOrRegister(string(name), metrics.NewGauge).(metrics.Gauge); ok {
		g.Update(value)
	}
}
