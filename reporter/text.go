package reporter

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// textPrefix is the prefix of all metric names in the text format.
const textPrefix = "buckthorndyke_"

// quantiles are the reported quantiles of a distribution.
var quantiles = []float64{0.5, 0.95, 0.99}

// Text returns all metrics in the Prometheus text format, with one line for each value.
// Hyphens in names become underscores, and the part after a slash becomes the label
// "of".
func (m *Metrics) Text() []byte {
	var lines []string
	m.registry.Each(func(name string, metric any) {
		base, of, _ := strings.Cut(name, "/")
		base = textPrefix + strings.ReplaceAll(base, "-", "_")
		switch v := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s{of=%q} %d", base, of, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s{of=%q} %d", base, of, v.Value()))
		case metrics.Histogram:
			s := v.Snapshot()
			lines = append(lines, fmt.Sprintf("%s_count{of=%q} %d", base, of, s.Count()))
			for i, value := range s.Percentiles(quantiles) {
				lines = append(lines, fmt.Sprintf("%s{of=%q,quantile=\"%g\"} %g", base, of, quantiles[i], value))
			}
		}
	})
	slices.Sort(lines)
	return []byte(strings.Join(lines, "\n") + "\n")
}
