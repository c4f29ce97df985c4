package standin

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// MemoryEngines finds engines in memory. It is an immutable value that
// implements buckthorndyke.Engines.
type MemoryEngines struct {
	engines buckthorndyke.Table[string, buckthorndyke.Engine]
}

// At implements buckthorndyke.Engines. The engine at an unknown address refuses
// all calls as not run.
func (e MemoryEngines) At(address string) buckthorndyke.Engine {
	if engine, ok := e.engines.Get(address); ok {
		return engine
	}
	return absentEngine{}
}

// With returns engines that also hold the one at address.
func (e MemoryEngines) With(address string, engine buckthorndyke.Engine) MemoryEngines {
	e.engines = e.engines.With(address, engine)
	return e
}

// absentEngine is an address at which no engine serves.
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

// errAbsent is the error of an address at which no engine serves.
var errAbsent = buckthorndyke.NewRefusal(
	buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun, "no runner serves at the address")
