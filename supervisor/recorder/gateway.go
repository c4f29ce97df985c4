package recorder

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// Gateway wraps a gateway and records the requests: those served by rank, and those
// refused by rank and code. A stream is counted when it ends.
type Gateway struct {
	buckthorndyke.Gateway
	clock buckthorndyke.Clock
	meter buckthorndyke.Meter
}

// NewGateway returns a gateway that wraps g and records to meter.
func NewGateway(g buckthorndyke.Gateway, meter buckthorndyke.Meter, clock buckthorndyke.Clock) *Gateway {
	return &Gateway{Gateway: g, clock: clock, meter: meter}
}

// Call implements buckthorndyke.Gateway.
func (g *Gateway) Call(ctx context.Context, r buckthorndyke.CallRequest) (buckthorndyke.ServiceResponse, error) {
	response, err := g.Gateway.Call(ctx, r)
	g.recordResult(r.Caller.Rank, err)
	return response, err
}

// Generate implements buckthorndyke.Gateway.
func (g *Gateway) Generate(
	ctx context.Context, r buckthorndyke.GenerateRequest,
) (buckthorndyke.TokenStream, error) {
	began := g.clock.Now()
	stream, err := g.Gateway.Generate(ctx, r)
	if err != nil {
		g.recordResult(r.Caller.Rank, err)
		return nil, err
	}
	return &recordingStream{TokenStream: stream, began: began, gateway: g, rank: r.Caller.Rank}, nil
}

// recordResult counts a request that ended with err, or was served if err is nil.
func (g *Gateway) recordResult(rank buckthorndyke.Rank, err error) {
	if err != nil {
		code := string(buckthorndyke.RefusalOf(err).Code())
		g.meter.Count(buckthorndyke.MetricRequestsRefused.Of(rank.String()).Of(code), 1)
		return
	}
	g.meter.Count(buckthorndyke.MetricRequestsServed.Of(rank.String()), 1)
}

// recordingStream wraps a token stream and records the time to its first token and
// its end.
type recordingStream struct {
	buckthorndyke.TokenStream
	began   buckthorndyke.Millis
	gateway *Gateway
	rank    buckthorndyke.Rank
	// started is set once the first token has been received.
	started bool
}

// Next implements buckthorndyke.TokenStream.
func (s *recordingStream) Next(ctx context.Context) (buckthorndyke.Token, error) {
	token, err := s.TokenStream.Next(ctx)
	if err == nil && !s.started {
		s.started = true
		s.gateway.meter.Observe(buckthorndyke.MetricFirstToken.Of(s.rank.String()), s.gateway.clock.Now()-s.began)
	}
	if err != nil || token.Last {
		s.gateway.recordResult(s.rank, err)
	}
	return token, err
}
