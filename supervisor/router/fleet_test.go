package router_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// maxResponses is the maximum number of responses in one test.
const maxResponses = 256

// runFleet runs test with three entry VMs and three runners.
func runFleet(t *testing.T, name string, cfg standin.EngineConfig, test func(t *testing.T, f *tester.Fleet)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := tester.NewFleet(t, tester.Config{Engine: cfg, Nodes: 3, Runners: 3})
			f.ApplyRules(tester.Rules)
			f.AwaitServing()
			test(t, f)
		})
	})
}

// ownerOf returns the index of the node that owns the only runner of a model, the index
// of another node, and the runner.
func ownerOf(t *testing.T, f *tester.Fleet, model buckthorndyke.ModelID) (int, int, buckthorndyke.RunnerID) {
	t.Helper()
	state := f.State(0)
	placement, _ := state.Placements.Get(model)
	runner := placement.Permitted()[0]
	ownership, _ := state.OwnershipOf(runner)
	for i, n := range f.Nodes {
		if n.Self.VM == ownership.Owner {
			return i, (i + 1) % len(f.Nodes), runner
		}
	}
	t.Fatalf("no node owns %s", runner)
	return 0, 0, ""
}

// generate starts a request through a node and returns a channel for the response.
func generate(t *testing.T, f *tester.Fleet, node int, token string, model buckthorndyke.ModelID, prompt string) <-chan tester.Outcome {
	responses := make(chan tester.Outcome, 1)
	go func() { responses <- f.Generate(t.Context(), node, token, model, prompt) }()
	return responses
}

// assertComplete checks that a response is complete.
func assertComplete(t *testing.T, got tester.Outcome, model buckthorndyke.ModelID, prompt string) {
	t.Helper()
	asserter.NoError(t, got.Err)
	asserter.Equal(t, got.Text, tester.ExpectedText(model, prompt))
}

func TestFleet(t *testing.T) {
	// A load takes ten seconds, a token one second.
	slow := standin.EngineConfig{RemoteMBPerSecond: 800, TokenInterval: buckthorndyke.Second}
	for _, after := range []time.Duration{time.Second, 12 * time.Second} {
		runFleet(t, "the owner is killed after "+after.String(), slow, func(t *testing.T, f *tester.Fleet) {
			owner, other, _ := ownerOf(t, f, "hall")
			response := generate(t, f, other, tester.UrgentToken, "hall", "hello")
			time.Sleep(after)
			f.Kill(owner)
			assertComplete(t, <-response, "hall", "hello")
		})
		runFleet(t, "the owner is paused after "+after.String(), slow, func(t *testing.T, f *tester.Fleet) {
			owner, other, _ := ownerOf(t, f, "hall")
			response := generate(t, f, other, tester.UrgentToken, "hall", "hello")
			time.Sleep(after)
			f.Nodes[owner].Process.Pause()
			assertComplete(t, <-response, "hall", "hello")
			f.Nodes[owner].Process.Resume()
		})
	}
	runFleet(t, "the runner crashes while several responses are in progress", slow, func(t *testing.T, f *tester.Fleet) {
		_, _, runner := ownerOf(t, f, "hall")
		var responses []<-chan tester.Outcome
		for i := range 6 {
			responses = append(responses, generate(t, f, i%3, tester.UrgentToken, "hall", strconv.Itoa(i)))
		}
		time.Sleep(14 * time.Second)
		asserter.NoError(t, f.Engines[runner].Crash(t.Context()))
		for i, response := range responses {
			assertComplete(t, <-response, "hall", strconv.Itoa(i))
		}
		asserter.Equal(t, f.State(0).Quarantines.Len(), 0)
	})
	for name, faults := range map[string]standin.EngineFaults{
		"cut":     {CutStreamAfter: 3},
		"doubled": {DuplicateToken: true},
		"mixed":   {ForeignToken: true},
	} {
		runFleet(t, "a stream is "+name, slow, func(t *testing.T, f *tester.Fleet) {
			_, other, runner := ownerOf(t, f, "hall")
			asserter.NoError(t, f.Engines[runner].SetFaults(t.Context(), faults))
			assertComplete(t, f.Generate(t.Context(), other, tester.UrgentToken, "hall", "hello"), "hall", "hello")
		})
	}
	// A load takes two seconds, a token 400 ms.
	quick := standin.EngineConfig{RemoteMBPerSecond: 4000, TokenInterval: 400 * buckthorndyke.Millisecond}
	runFleet(t, "a request crashes each runner that runs it", quick, func(t *testing.T, f *tester.Fleet) {
		var responses []<-chan tester.Outcome
		for i := range 5 {
			responses = append(responses, generate(t, f, i%3, tester.OrdinaryToken, "gym", strconv.Itoa(i)))
		}
		time.Sleep(3 * time.Second)
		for node := range f.Nodes {
			response := f.Generate(t.Context(), node, tester.UrgentToken, "gym", standin.CrashPrompt)
			asserter.True(t, response.Err != nil, "a request that crashes its runner succeeded")
			time.Sleep(time.Second)
		}
		asserter.Refused(t, f.Generate(t.Context(), 0, tester.UrgentToken, "gym", standin.CrashPrompt).Err,
			buckthorndyke.CodeQuarantined, buckthorndyke.NotRun)
		for i, response := range responses {
			assertComplete(t, <-response, "gym", strconv.Itoa(i))
		}
		crashes := 0
		for _, journal := range f.Journals() {
			crashes += journal.Crashes
		}
		asserter.Equal(t, crashes, 2)
		asserter.Equal(t, f.State(0).Quarantines.Len(), 1)
	})
	runFleet(t, "a paid request preempts free ones, which are resumed later", slow, func(t *testing.T, f *tester.Fleet) {
		free := make(chan tester.Outcome, maxResponses)
		for i := range 8 {
			go func() { free <- f.Generate(t.Context(), i%3, tester.FreeToken, "hall", "free") }()
		}
		time.Sleep(12 * time.Second)
		start := f.Clock.Now()
		paid := f.Generate(t.Context(), 0, tester.UrgentToken, "hall", "paid")
		assertComplete(t, paid, "hall", "paid")
		asserter.True(t, paid.FirstToken < 4*buckthorndyke.Second, "an urgent request waited for free ones: "+strconv.Itoa(int(f.Clock.Now()-start)))
		for range 8 {
			assertComplete(t, <-free, "hall", "free")
		}
	})
}
