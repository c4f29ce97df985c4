package reporter_test

import (
	"bytes"
	"encoding/json"
	"regexp"
	"testing"

	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

func TestLogger(t *testing.T) {
	t.Run("a line is JSON with its event and VM", func(t *testing.T) {
		line := logLine(t, func(b *bytes.Buffer) {
			logger, err := reporter.NewLogger(b, "info", "entry-1")
			asserter.NoError(t, err)
			logger.Debug().Msg("hidden")
			logger.Info().EmbedObject(reporter.EventDrainBegun).Msg("drain")
		})
		asserter.Equal(t, line["event"], any("drain-begun"))
		asserter.Equal(t, line["vm"], any("entry-1"))
	})
	t.Run("an unknown level is an error", func(t *testing.T) {
		_, err := reporter.NewLogger(&bytes.Buffer{}, "loud", "entry-1")
		asserter.Error(t, err)
	})
	t.Run("a panic of a task is logged with kebab-case keys", func(t *testing.T) {
		line := logLine(t, func(b *bytes.Buffer) {
			logger, err := reporter.NewLogger(b, "warn", "entry-1")
			asserter.NoError(t, err)
			reporter.SupervisorHook(logger)(suture.EventServicePanic{ServiceName: "prober", PanicMsg: "boom"})
		})
		asserter.Equal(t, line["event"], any("task-panicked"))
		asserter.Equal(t, line["service-name"], any("prober"))
		for key := range line {
			assertKebabCase(t, key)
		}
	})
}

func TestMetrics(t *testing.T) {
	m := reporter.NewMetrics()
	m.Count(buckthorndyke.MetricLoads, 2)
	m.Count(buckthorndyke.MetricLoads, 1)
	m.Set(buckthorndyke.MetricMembers, 8)
	m.Observe(buckthorndyke.MetricFirstToken.Of("urgent"), 40)
	m.Observe(buckthorndyke.MetricFirstToken.Of("urgent"), 60)
	data, err := json.Marshal(m)
	asserter.NoError(t, err)
	var got map[string]map[string]float64
	asserter.NoError(t, json.Unmarshal(data, &got))
	t.Run("counters add up", func(t *testing.T) { asserter.Equal(t, got["loads"]["count"], 3) })
	t.Run("gauges keep the last value", func(t *testing.T) { asserter.Equal(t, got["members"]["value"], 8) })
	t.Run("distributions are kept by label", func(t *testing.T) { asserter.Equal(t, got["first-token-ms/urgent"]["mean"], 50) })
	t.Run("a measurement of another kind is ignored", func(t *testing.T) {
		m.Observe(buckthorndyke.MetricLoads, 1)
		asserter.Equal(t, got["loads"]["count"], 3)
	})
}

func assertKebabCase(t *testing.T, name string) {
	t.Helper()
	if !regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`).MatchString(name) {
		t.Errorf("%q is not in kebab case", name)
	}
}

// logLine returns the one log line that write produces.
func logLine(t *testing.T, write func(*bytes.Buffer)) map[string]any {
	t.Helper()
	var b bytes.Buffer
	write(&b)
	var line map[string]any
	asserter.NoError(t, json.Unmarshal(b.Bytes(), &line))
	return line
}
