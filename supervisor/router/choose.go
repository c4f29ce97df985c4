package router

import (
	"context"
	"math"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
)

// forever is the instant until which a runner that has refused is avoided.
const forever buckthorndyke.Millis = math.MaxInt64

// avoidance says how long a runner is not asked.
type avoidance struct {
	// epoch is that of the owner that failed. A new owner is asked at once.
	epoch buckthorndyke.Offset
	until buckthorndyke.Millis
}

// avoid keeps the next attempts from the runner of s until an instant.
func (g *generateTask) avoid(st routerState, f *failure, until buckthorndyke.Millis) {
	ownership, _ := st.update.State.OwnershipOf(f.runner)
	g.avoided[f.runner] = avoidance{epoch: ownership.Epoch, until: until}
}

// choose returns the runner to ask next. It waits while no runner can be asked
// but one may be later, for example once its new owner is known.
func (g *generateTask) choose(
	ctx context.Context, attempt int, last *failure,
) (buckthorndyke.RunnerID, routerState, *buckthorndyke.RefusalError) {
	for ; ; attempt++ {
		st, err := g.currentState(ctx)
		if err != nil {
			return "", st, g.contextRefusal(ctx, last)
		}
		if refusal := checkGenerate(st, g.request); refusal != nil {
			return "", st, g.refusal(refusal)
		}
		if st, err = g.ensureSurvey(ctx, st); err != nil {
			return "", st, g.contextRefusal(ctx, last)
		}
		runner, wait := g.pick(st)
		switch {
		case runner != "":
			return runner, st, nil
		case !wait:
			return "", st, g.refusal(last.refusal)
		}
		select {
		case <-ctx.Done():
			return "", st, g.contextRefusal(ctx, last)
		case <-g.clock.After(chooser.Backoff(attempt, g.seed)):
		}
	}
}

// pick returns the first runner in order that is not avoided, or none and
// whether waiting may yield one.
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
