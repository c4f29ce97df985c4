package reporter_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

func TestText(t *testing.T) {
	m := reporter.NewMetrics()
	m.Count(buckthorndyke.MetricRequestsServed.Of("call"), 3)
	m.Set(buckthorndyke.MetricServers, 15)
	m.Observe(buckthorndyke.MetricFirstByte.Of("stream"), 40)
	text := string(m.Text())
	for _, line := range []string{
		"buckthorndyke_requests_served{of=\"call\"} 3\n",
		"buckthorndyke_servers{of=\"\"} 15\n",
		"buckthorndyke_first_byte_ms_count{of=\"stream\"} 1\n",
		"buckthorndyke_first_byte_ms{of=\"stream\",quantile=\"0.99\"} 40\n",
	} {
		asserter.Contains(t, text, line)
	}
}
