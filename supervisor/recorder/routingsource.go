package recorder

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// RoutingSource wraps a source of the configuration and records the outcome of the calls.
type RoutingSource struct {
	meter  buckthorndyke.Meter
	source buckthorndyke.RoutingSource
}

// NewRoutingSource returns a source that wraps s and records to meter.
func NewRoutingSource(s buckthorndyke.RoutingSource, meter buckthorndyke.Meter) *RoutingSource {
	return &RoutingSource{meter: meter, source: s}
}

// Routing implements buckthorndyke.RoutingSource.
func (s *RoutingSource) Routing(ctx context.Context, notice buckthorndyke.SeenVersion) (buckthorndyke.Routing, error) {
	routing, err := s.source.Routing(ctx, notice)
	if err != nil {
		s.meter.Count(buckthorndyke.MetricRoutingCopies.Of("failed"), 1)
		return routing, err
	}
	s.meter.Count(buckthorndyke.MetricRoutingCopies.Of("done"), 1)
	s.meter.Set(buckthorndyke.MetricCallers, int64(routing.Callers.Len()))
	s.meter.Set(buckthorndyke.MetricRoutingVersion, routing.Version)
	return routing, nil
}
