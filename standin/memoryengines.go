package standin

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// MemoryEngines looks up in-memory engines by address. It is an immutable value
// that implements buckthorndyke.Engines.
type MemoryEngines struct {
	engines buckthorndyke.Table[string, buckthorndyke.Engine]
}

// At implements buckthorndyke.Engines. The engine at an unknown address refuses
// all calls with the verdict NotRun.
func (e MemoryEngines) At(address string) buckthorndyke.Engine {
	if engine, ok := e.engines.Get(address); ok {
		return engine
	}
	return absentEngine{}
}

// With returns a copy of e with engine at address.
func (e MemoryEngines) With(address string, engine buckthorndyke.Engine) MemoryEngines {
	e.engines = e.engines.With(address, engine)
	return e
}

// absentEngine stands for an address at which no engine listens. It refuses all
// calls.
type absentEngine struct{}

func (absentEngine) Cancel(context.Context, buckthorndyke.JobID) error {
	return errAbsent
}

func (absentEngine) Generate(context.Context, buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
	return nil, errAbsent
}

func (absentEngine) Order(context.Context, buckthorndyke.Order) (buckthorndyke.OrderState, error) {
	return buckthorndyke.OrderUnknown, errAbsent
}

func (absentEngine) Status(context.Context) (buckthorndyke.EngineStatus, error) {
	return buckthorndyke.EngineStatus{}, errAbsent
}

// errAbsent is the refusal of a call to an address at which no engine listens.
var errAbsent = buckthorndyke.NewRefusal(
	buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun, "no runner listens on the address")
