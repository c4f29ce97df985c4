package matrix_test

import (
	"context"
	"slices"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// TestDetection guards against checks that never fail: for each guarantee it runs a
// cell with a component that breaks the guarantee, and requires that the matrix
// detects it.
func TestDetection(t *testing.T) {
	for _, tc := range []struct {
		name     string
		step     string
		violated guarantee
		wrappers tester.Wrappers
	}{
		{"a steward that loads a model without a decision", "order sent", guaranteeReplicas, tester.Wrappers{Engine: newStrayEngine}},
		{"a steward that counts too little memory", "order sent", guaranteeMemory, tester.Wrappers{Engine: newLargeEngine}},
		{"a gateway that never responds to a request", "received", guaranteeInTime, tester.Wrappers{Gateway: newHangingGateway}},
		{"a gateway that mixes up responses", "streaming", guaranteeComplete, tester.Wrappers{Gateway: newWrongPromptGateway}},
		{"a service client that reports not run after the call has run", "answered", guaranteeNotRun, tester.Wrappers{Service: runAndReportNotRun}},
		{"a service client that calls twice", "sent", guaranteeOnce, tester.Wrappers{Service: callTwice}},
		{"a router that does not see which VMs are leaving", "sent", guaranteeLeaving, tester.Wrappers{VMList: newNoLeavingList}},
		{"a process that skips rules changes", "folded", guaranteeRules, tester.Wrappers{Log: newSkippingLog}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			assertDetected(t, tc.violated, cell{faults: []fault{noFault}, step: stepNamed(tc.step), times: 1, wrappers: tc.wrappers})
		})
	}
	t.Run("processes that accept stale rules changes", func(t *testing.T) {
		t.Parallel()
		assertDetected(t, guaranteeRules, cell{
			faults: []fault{faultNamed("operators racing")}, step: stepNamed("received"), times: 1,
			wrappers: tester.Wrappers{Log: newRebasingLog},
		})
	})
	t.Run("a process that stops without draining", func(t *testing.T) {
		t.Parallel()
		assertDetected(t, guaranteeStop, cell{faults: []fault{noFault}, step: stepNamed("received"), times: 1, killAtStop: true})
	})
	t.Run("no violation without a fault", func(t *testing.T) {
		t.Parallel()
		for _, v := range (cell{faults: []fault{noFault}, step: stepNamed("received"), times: 1}).run(t) {
			t.Error(v)
		}
	})
}

// noFault is a fault that does nothing.
var noFault = fault{"none", anywhere, func(*run, decodedEvent) tester.Fault { return tester.Fault{} }}

// assertDetected runs a cell and reports an error unless a violation of g is found.
func assertDetected(t *testing.T, g guarantee, c cell) {
	t.Helper()
	found := c.run(t)
	if !slices.ContainsFunc(found, func(v violation) bool { return v.guarantee == g }) {
		t.Errorf("no violation of the guarantee %q was found; found: %v", g, found)
	}
}

func faultNamed(name string) fault {
	return faults[slices.IndexFunc(faults, func(f fault) bool { return f.name == name })]
}

func stepNamed(name string) step {
	return steps[slices.IndexFunc(steps, func(s step) bool { return s.name == name })]
}

// strayEngine loads an additional model with each load order.
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

// largeEngine uses 4 times the memory that the rules state.
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

// hangingGateway never responds to requests for one model.
type hangingGateway struct {
	buckthorndyke.Gateway
}

func newHangingGateway(g buckthorndyke.Gateway) buckthorndyke.Gateway {
	return hangingGateway{Gateway: g}
}

func (g hangingGateway) Generate(
	ctx context.Context, r buckthorndyke.GenerateRequest,
) (buckthorndyke.TokenStream, error) {
	if r.Model == "court" {
		<-ctx.Done()
	}
	return g.Gateway.Generate(ctx, r)
}

// wrongPromptGateway returns the response to another prompt.
type wrongPromptGateway struct {
	buckthorndyke.Gateway
}

func newWrongPromptGateway(g buckthorndyke.Gateway) buckthorndyke.Gateway {
	return wrongPromptGateway{Gateway: g}
}

func (g wrongPromptGateway) Generate(
	ctx context.Context, r buckthorndyke.GenerateRequest,
) (buckthorndyke.TokenStream, error) {
	r.Prompt += " of another"
	return g.Gateway.Generate(ctx, r)
}

// serviceFunc implements buckthorndyke.Service by a function.
type serviceFunc func(context.Context, string, buckthorndyke.ServiceCall) (buckthorndyke.ServiceResponse, error)

func (f serviceFunc) Call(
	ctx context.Context, address string, call buckthorndyke.ServiceCall,
) (buckthorndyke.ServiceResponse, error) {
	return f(ctx, address, call)
}

// runAndReportNotRun returns a service that makes each call and then reports it as
// not run.
func runAndReportNotRun(s buckthorndyke.Service) buckthorndyke.Service {
	return serviceFunc(func(
		ctx context.Context, address string, call buckthorndyke.ServiceCall,
	) (buckthorndyke.ServiceResponse, error) {
		_, _ = s.Call(ctx, address, call)
		return buckthorndyke.ServiceResponse{}, buckthorndyke.NewRefusal(
			buckthorndyke.CodeServiceUnavailable, buckthorndyke.NotRun, "not run")
	})
}

// callTwice returns a service that makes each call twice.
func callTwice(s buckthorndyke.Service) buckthorndyke.Service {
	return serviceFunc(func(
		ctx context.Context, address string, call buckthorndyke.ServiceCall,
	) (buckthorndyke.ServiceResponse, error) {
		_, _ = s.Call(ctx, address, call)
		return s.Call(ctx, address, call)
	})
}

// noLeavingList reports no VM as leaving.
type noLeavingList struct {
	buckthorndyke.VMList
}

func newNoLeavingList(l buckthorndyke.VMList) buckthorndyke.VMList { return noLeavingList{VMList: l} }

func (l noLeavingList) List(ctx context.Context) ([]buckthorndyke.VM, error) {
	vms, err := l.VMList.List(ctx)
	for i := range vms {
		vms[i].Leaving = false
	}
	return vms, err
}
