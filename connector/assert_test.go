package connector_test

import (
	"context"
	"net/http/httptrace"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/connector"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// fixture holds stand-ins for the platform, a runner and a service, and the clients
// of them to be tested.
type fixture struct {
	engine         buckthorndyke.Engine
	list           buckthorndyke.VMList
	log            buckthorndyke.Log
	service        buckthorndyke.Service
	serviceAddress string
	// standIns sets faults and reads journals.
	standIns standInSet
	weights  buckthorndyke.WeightStore
}

// standInSet holds the stand-ins of a fixture.
type standInSet struct {
	engine  *standin.MemoryEngine
	list    *standin.MemoryVMList
	log     *standin.MemoryLog
	service *standin.MemoryService
	weights *standin.MemoryWeightStore
}

const (
	model          buckthorndyke.ModelID = "hall-acoustics"
	responseTokens                       = 5
	prompt                               = "why does the gym echo?"
	stream                               = buckthorndyke.ControlStream
)

// engineOption changes the configuration of a fixture's engine.
type engineOption func(*standin.EngineConfig)

// runWithBoth runs test with the stand-ins in memory, in a synctest bubble, and with
// the connectors that call them over HTTP.
func runWithBoth(t *testing.T, test func(ctx context.Context, t *testing.T, f fixture), opts ...engineOption) {
	t.Helper()
	t.Run("memory", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := startStandIns(ctx, opts...)
			test(ctx, t, fixture{
				engine: s.engine, list: s.list, log: s.log, service: s.service,
				serviceAddress: "memory", standIns: s, weights: s.weights,
			})
		})
	})
	t.Run("http", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := startStandIns(ctx, opts...)
		engine := standin.NewEngineServer(loopback, s.engine)
		list := standin.NewVMListServer(loopback, s.list)
		log := standin.NewLogServer(loopback, s.log)
		service := standin.NewServiceServer(loopback, "bookings", s.service)
		weights := standin.NewWeightStoreServer(loopback, s.weights)
		standin.Start(ctx, engine, list, log, service, weights)
		test(ctx, t, fixture{
			engine:         connector.NewHTTPEngines().At(addressOf(ctx, t, engine)),
			list:           connector.NewHTTPVMList(addressOf(ctx, t, list)),
			log:            connector.NewHTTPLog(addressOf(ctx, t, log)),
			service:        connector.NewHTTPService(),
			serviceAddress: addressOf(ctx, t, service),
			standIns:       s,
			weights:        connector.NewHTTPWeightStore(addressOf(ctx, t, weights)),
		})
	})
}

// loopback is a listen address whose port the system chooses.
const loopback = "127.0.0.1:0"

// cancelOnceSent returns a context that ends once a request was written to a
// connection, or after an hour.
func cancelOnceSent(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, time.Hour)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { cancel() },
	}), cancel
}

// addressOf returns the address that a server listens on.
func addressOf(ctx context.Context, t *testing.T, s interface {
	Address(ctx context.Context) (string, error)
},
) string {
	t.Helper()
	address, err := s.Address(ctx)
	asserter.NoError(t, err)
	return address
}

// startStandIns starts the stand-ins. The engine is fast and has loaded model.
func startStandIns(ctx context.Context, opts ...engineOption) standInSet {
	cfg := standin.EngineConfig{
		ResponseTokens: responseTokens, ChecksFencingToken: true, Prefill: 1, RemoteMBPerSecond: 100_000, TokenInterval: 1,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	clock := timekeeper.NewRealClock()
	s := standInSet{
		list:    standin.NewMemoryVMList(clock),
		log:     standin.NewMemoryLog(clock, standin.WithRetention(3)),
		service: standin.NewMemoryService(clock),
		weights: standin.NewMemoryWeightStore(clock, standin.WithDefaultSize(0),
			standin.WithCheckpoints(buckthorndyke.Checkpoint{Model: "spare", SizeMB: 100})),
	}
	s.engine = standin.NewMemoryEngine(clock, s.weights, cfg, standin.WithResidents(buckthorndyke.Resident{MemoryMB: 8000, Model: model}))
	standin.Start(ctx, s.engine, s.list, s.log, s.service, s.weights)
	return s
}

// assertComplete checks that the tokens in part and the rest of s make up the
// complete response.
func assertComplete(ctx context.Context, t *testing.T, s buckthorndyke.TokenStream, part []string) {
	t.Helper()
	rest, err := collect(ctx, s)
	asserter.NoError(t, err)
	asserter.Equal(t, append(part, rest...), standin.ResponseTokens(model, prompt, responseTokens))
}

// collect returns the texts of a stream up to its end marker or an error.
func collect(ctx context.Context, s buckthorndyke.TokenStream) ([]string, error) {
	var texts []string
	for {
		token, err := s.Next(ctx)
		if err != nil || token.Last {
			return texts, err
		}
		texts = append(texts, token.Text)
	}
}
