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

// bench is a set of stand-ins, the root interfaces by which they are reached,
// and the handles by which their faults are set.
type bench struct {
	engine         buckthorndyke.Engine
	list           buckthorndyke.VMList
	log            buckthorndyke.Log
	memory         memory
	service        buckthorndyke.Service
	serviceAddress string
	weights        buckthorndyke.WeightStore
}

// memory is the stand-ins behind a bench.
type memory struct {
	engine  *standin.MemoryEngine
	list    *standin.MemoryVMList
	log     *standin.MemoryLog
	service *standin.MemoryService
	weights *standin.MemoryWeightStore
}

const (
	model        buckthorndyke.ModelID = "hall-acoustics"
	answerTokens                       = 5
	prompt                             = "why does the gym echo?"
	stream                             = buckthorndyke.ControlStream
)

// engineOption changes the config of a bench's engine.
type engineOption func(*standin.EngineConfig)

// onBoth runs test against the stand-ins in memory, in a bubble, and over HTTP.
func onBoth(t *testing.T, test func(ctx context.Context, t *testing.T, b bench), opts ...engineOption) {
	t.Helper()
	t.Run("memory", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			m := startMemory(ctx, opts...)
			test(ctx, t, bench{
				engine: m.engine, list: m.list, log: m.log, memory: m, service: m.service,
				serviceAddress: "memory", weights: m.weights,
			})
		})
	})
	t.Run("http", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := startMemory(ctx, opts...)
		engine := standin.NewEngineServer(loopback, m.engine)
		list := standin.NewVMListServer(loopback, m.list)
		log := standin.NewLogServer(loopback, m.log)
		service := standin.NewServiceServer(loopback, "bookings", m.service)
		weights := standin.NewWeightStoreServer(loopback, m.weights)
		standin.Start(ctx, engine, list, log, service, weights)
		test(ctx, t, bench{
			engine:         connector.NewHTTPEngines().At(addressOf(ctx, t, engine)),
			list:           connector.NewHTTPVMList(addressOf(ctx, t, list)),
			log:            connector.NewHTTPLog(addressOf(ctx, t, log)),
			memory:         m,
			service:        connector.NewHTTPService(),
			serviceAddress: addressOf(ctx, t, service),
			weights:        connector.NewHTTPWeightStore(addressOf(ctx, t, weights)),
		})
	})
}

// loopback lets the system choose a port.
const loopback = "127.0.0.1:0"

// giveUpOnceSent returns a context that ends once a request was written to a
// connection, or after an hour.
func giveUpOnceSent(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, time.Hour)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { cancel() },
	}), cancel
}

// addressOf returns the address that a server has bound.
func addressOf(ctx context.Context, t *testing.T, s interface {
	Address(ctx context.Context) (string, error)
},
) string {
	t.Helper()
	address, err := s.Address(ctx)
	asserter.NoError(t, err)
	return address
}

// startMemory starts the stand-ins. The engine is fast and has model loaded.
func startMemory(ctx context.Context, opts ...engineOption) memory {
	cfg := standin.EngineConfig{
		ResponseTokens: answerTokens, ChecksFencingToken: true, Prefill: 1, RemoteMBPerSecond: 100_000, TokenInterval: 1,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	clock := timekeeper.NewRealClock()
	m := memory{
		list:    standin.NewMemoryVMList(clock),
		log:     standin.NewMemoryLog(clock, standin.WithRetention(3)),
		service: standin.NewMemoryService(clock),
		weights: standin.NewMemoryWeightStore(clock, standin.WithDefaultSize(0),
			standin.WithCheckpoints(buckthorndyke.Checkpoint{Model: "spare", SizeMB: 100})),
	}
	m.engine = standin.NewMemoryEngine(clock, m.weights, cfg, standin.WithResidents(buckthorndyke.Resident{MemoryMB: 8000, Model: model}))
	standin.Start(ctx, m.engine, m.list, m.log, m.service, m.weights)
	return m
}

// assertWhole reads the rest of an answer, which follows the tokens in part.
func assertWhole(ctx context.Context, t *testing.T, s buckthorndyke.TokenStream, part []string) {
	t.Helper()
	rest, err := collect(ctx, s)
	asserter.NoError(t, err)
	asserter.Equal(t, append(part, rest...), standin.ResponseTokens(model, prompt, answerTokens))
}

// collect returns the texts of a stream up to its end mark or error.
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
