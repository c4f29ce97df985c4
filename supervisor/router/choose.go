package router

import (
	"context"
	"math"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
)

// forever is the instant until which a runner that refused the request is avoided.
const forever buckthorndyke.Millis = math.MaxInt64

// avoidance says until when a request does not try a runner.
type avoidance struct {
	// epoch is the epoch of the owner at the time of the failure. A new owner is tried
	// at once.
	epoch buckthorndyke.Offset
	until buckthorndyke.Millis
}

// avoid excludes the runner of f from further attempts until the given instant.
func (g *generateTask) avoid(st routerState, f *failure, until buckthorndyke.Millis) {
	ownership, _ := st.update.State.OwnershipOf(f.runner)
	g.avoided[f.runner] = avoidance{epoch: ownership.Epoch, until: until}
}

// choose returns the runner to try next. It waits while no runner can be tried but
// one may become available, for example once its new owner is known.
func (g *generateTask) choose(
	ctx context.Context, attempt int, last *failure,
) (buckthorndyke.RunnerID, routerState, *buckthorndyke.RefusalError) {
	for ; ; attempt++ {
		st, err := g.currentState(ctx)
		if err != nil {
			return "", st, g.contextRefusal(ctx, last)
		}
		if refusal := checkGenerate(st, g.clock.Now(), g.request); refusal != nil {
			return "", st, g.withVerdict(refusal)
		}
		if st, err = g.ensureSurvey(ctx, st); err != nil {
			return "", st, g.contextRefusal(ctx, last)
		}
		runner, wait := g.pick(st)
		switch {
		case runner != "":
			return runner, st, nil
		case !wait:
			return "", st, g.withVerdict(last.refusal)
		}
		select {
		case <-ctx.Done():
			return "", st, g.contextRefusal(ctx, last)
		case <-g.clock.After(chooser.Backoff(attempt, g.seed)):
		}
	}
}

// pick returns the best runner that has a live owner and is not avoided. If there is
// none it returns an empty ID, and whether one may become available later.
func (g *generateTask) pick(st routerState) (buckthorndyke.RunnerID, bool) {
	now := g.clock.Now()
	order := st.order(g.request, g.seed, now)
	refusals := 0
	for _, runner := range order {
		ownership, _, live := st.owner(runner)
		avoided, known := g.avoided[runner]
		switch {
		case known && avoided.until == forever:
			refusals++
		case live && (!known || avoided.epoch != ownership.Epoch || avoided.until <= now):
			return runner, true
		}
	}
	return "", len(order) == 0 || refusals < len(order)
}
