package matrix_test

import (
	"context"
	"slices"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// TestBroken shows for each promise that the matrix catches a variant that
// breaks it.
func TestBroken(t *testing.T) {
	for _, b := range []struct {
		name    string
		promise guarantee
		step    string
		wiring  tester.Wiring
	}{
		{"a steward that loads a model that was not decided", guaranteeReplicas, "order sent", tester.Wiring{Engine: newStrayEngine}},
		{"a steward that counts too little memory", guaranteeMemory, "order sent", tester.Wiring{Engine: newLargeEngine}},
		{"a gateway that forgets a request", guaranteeInTime, "received", tester.Wiring{Gateway: newHangingGateway}},
		{"a gateway that mixes answers", guaranteeComplete, "streaming", tester.Wiring{Gateway: newWrongPromptGateway}},
		{"a service client that says not run after an effect", guaranteeNotRun, "answered", tester.Wiring{Service: runAndReportNotRun}},
		{"a service client that calls twice", guaranteeOnce, "sent", tester.Wiring{Service: callTwice}},
		{"a router that does not see who is leaving", guaranteeLeaving, "sent", tester.Wiring{VMList: hideLeaving}},
		{"a process that skips changes of the rules", guaranteeRules, "folded", tester.Wiring{Log: skipRules}},
	} {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			assertDetected(t, b.promise, cell{faults: []fault{noFault}, step: stepNamed(b.step), times: 1, wiring: b.wiring})
		})
	}
	t.Run("processes that let stale changes of the rules through", func(t *testing.T) {
		t.Parallel()
		assertDetected(t, guaranteeRules, cell{
			faults: []fault{faultNamed("operators racing")}, step: stepNamed("received"), times: 1,
			wiring: tester.Wiring{Log: rebaseRules},
		})
	})
	t.Run("a process that stops without a drain", func(t *testing.T) {
		t.Parallel()
		assertDetected(t, guaranteeStop, cell{faults: []fault{noFault}, step: stepNamed("received"), times: 1, killAtStop: true})
	})
	t.Run("nothing is broken", func(t *testing.T) {
		t.Parallel()
		for _, b := range (cell{faults: []fault{noFault}, step: stepNamed("received"), times: 1}).run(t) {
			t.Error(b)
		}
	})
}

// none is a fault that does nothing.
var noFault = fault{"none", anywhere, func(*run, decodedEvent) tester.Fault { return tester.Fault{} }}

// assertCaught plays a cell and reports an error unless p is found broken.
func assertDetected(t *testing.T, p guarantee, c cell) {
	t.Helper()
	found := c.run(t)
	if !slices.ContainsFunc(found, func(b violation) bool { return b.guarantee == p }) {
		t.Errorf("the promise %q was not found broken; found: %v", p, found)
	}
}

func faultNamed(name string) fault {
	return faults[slices.IndexFunc(faults, func(f fault) bool { return f.name == name })]
}

func stepNamed(name string) step {
	return steps[slices.IndexFunc(steps, func(s step) bool { return s.name == name })]
}

// strayEngine loads a model with each model that it is told to load.
type strayEngine struct {
	buckthorndyke.Engine
}

func newStrayEngine(_ buckthorndyke.RunnerID, e buckthorndyke.Engine) buckthorndyke.Engine {
	return strayEngine{Engine: e}
}

func (e strayEngine) Order(ctx context.Context, o buckthorndyke.Order) (buckthorndyke.OrderState, error) {
	if o.Kind == buckthorndyke.OrderLoad {
		stray := o
		stray.ID, stray.MemoryMB, stray.Model = o.ID+"-stray", 1, "stray"
		_, _ = e.Engine.Order(ctx, stray)
	}
	return e.Engine.Order(ctx, o)
}

// largeEngine needs more memory than the rules say.
type largeEngine struct {
	buckthorndyke.Engine
}

func newLargeEngine(_ buckthorndyke.RunnerID, e buckthorndyke.Engine) buckthorndyke.Engine {
	return largeEngine{Engine: e}
}

func (e largeEngine) Order(ctx context.Context, o buckthorndyke.Order) (buckthorndyke.OrderState, error) {
	o.MemoryMB *= 4
	return e.Engine.Order(ctx, o)
}

// forgetfulGateway never answers requests to one model.
type hangingGateway struct {
	buckthorndyke.Gateway
}

func newHangingGateway(g buckthorndyke.Gateway) buckthorndyke.Gateway { return hangingGateway{Gateway: g} }

func (g hangingGateway) Generate(
	ctx context.Context, r buckthorndyke.GenerateRequest,
) (buckthorndyke.TokenStream, error) {
	if r.Model == "court" {
		<-ctx.Done()
	}
	return g.Gateway.Generate(ctx, r)
}

// mixingGateway answers another request.
type wrongPromptGateway struct {
	buckthorndyke.Gateway
}

func newWrongPromptGateway(g buckthorndyke.Gateway) buckthorndyke.Gateway { return wrongPromptGateway{Gateway: g} }

func (g wrongPromptGateway) Generate(
	ctx context.Context, r buckthorndyke.GenerateRequest,
) (buckthorndyke.TokenStream, error) {
	r.Prompt += " of another"
	return g.Gateway.Generate(ctx, r)
}

// serviceFunc is a Service made of a function.
type serviceFunc func(context.Context, string, buckthorndyke.ServiceCall) (buckthorndyke.ServiceResponse, error)

func (f serviceFunc) Call(
	ctx context.Context, address string, call buckthorndyke.ServiceCall,
) (buckthorndyke.ServiceResponse, error) {
	return f(ctx, address, call)
}

func runAndReportNotRun(s buckthorndyke.Service) buckthorndyke.Service {
	return serviceFunc(func(
		ctx context.Context, address string, call buckthorndyke.ServiceCall,
	) (buckthorndyke.ServiceResponse, error) {
		_, _ = s.Call(ctx, address, call)
		return buckthorndyke.ServiceResponse{}, buckthorndyke.NewRefusal(
			buckthorndyke.CodeServiceUnavailable, buckthorndyke.NotRun, "not run")
	})
}

func callTwice(s buckthorndyke.Service) buckthorndyke.Service {
	return serviceFunc(func(
		ctx context.Context, address string, call buckthorndyke.ServiceCall,
	) (buckthorndyke.ServiceResponse, error) {
		_, _ = s.Call(ctx, address, call)
		return s.Call(ctx, address, call)
	})
}

// blindList does not show who is leaving.
type noLeavingList struct {
	buckthorndyke.VMList
}

func hideLeaving(l buckthorndyke.VMList) buckthorndyke.VMList { return noLeavingList{VMList: l} }

func (l noLeavingList) List(ctx context.Context) ([]buckthorndyke.VM, error) {
	vms, err := l.VMList.List(ctx)
	for i := range vms {
		vms[i].Leaving = false
	}
	return vms, err
}
