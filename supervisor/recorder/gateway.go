package recorder

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// Gateway serves callers by another gateway and records what becomes of their
// requests, by rank and by code of refusal.
type Gateway struct {
	buckthorndyke.Gateway
	clock buckthorndyke.Clock
	meter buckthorndyke.Meter
}

// NewGateway returns a gateway that records the requests to g.
func NewGateway(g buckthorndyke.Gateway, meter buckthorndyke.Meter, clock buckthorndyke.Clock) *Gateway {
	return &Gateway{Gateway: g, clock: clock, meter: meter}
}

// Call implements buckthorndyke.Gateway.
func (g *Gateway) Call(ctx context.Context, r buckthorndyke.CallRequest) (buckthorndyke.ServiceResponse, error) {
	answer, err := g.Gateway.Call(ctx, r)
	g.ended(r.Caller.Rank, err)
	return answer, err
}

// Generate implements buckthorndyke.Gateway.
func (g *Gateway) Generate(
	ctx context.Context, r buckthorndyke.GenerateRequest,
) (buckthorndyke.TokenStream, error) {
	begun := g.clock.Now()
	stream, err := g.Gateway.Generate(ctx, r)
	if err != nil {
		g.ended(r.Caller.Rank, err)
		return nil, err
	}
	return &recordedStream{TokenStream: stream, begun: begun, gateway: g, rank: r.Caller.Rank}, nil
}

// ended counts a request that has ended with err.
func (g *Gateway) ended(rank buckthorndyke.Rank, err error) {
	if err != nil {
		code := string(buckthorndyke.RefusalOf(err).Code())
		g.meter.Count(buckthorndyke.MetricRequestsRefused.Of(rank.String()).Of(code), 1)
		return
	}
	g.meter.Count(buckthorndyke.MetricRequestsServed.Of(rank.String()), 1)
}

// recordedStream records when an answer begins and how it ends.
type recordedStream struct {
	buckthorndyke.TokenStream
	begun   buckthorndyke.Millis
	gateway *Gateway
	rank    buckthorndyke.Rank
	started bool
}

// Next implements buckthorndyke.TokenStream.
func (s *recordedStream) Next(ctx context.Context) (buckthorndyke.Token, error) {
	token, err := s.TokenStream.Next(ctx)
	if err == nil && !s.started {
		s.started = true
		s.gateway.meter.Observe(buckthorndyke.MetricFirstToken.Of(s.rank.String()), s.gateway.clock.Now()-s.begun)
	}
	if err != nil || token.Last {
		s.gateway.ended(s.rank, err)
	}
	return token, err
}
