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
func (g *generation) avoid(k knowledge, s *setback, until buckthorndyke.Millis) {
	ownership, _ := k.progress.State.OwnershipOf(s.runner)
	g.avoided[s.runner] = avoidance{epoch: ownership.Epoch, until: until}
}

// choose returns the runner to ask next. It waits while no runner can be asked
// but one may be later, for example once its new owner is known.
func (g *generation) choose(
	ctx context.Context, attempt int, last *setback,
) (buckthorndyke.RunnerID, knowledge, *buckthorndyke.RefusalError) {
	for ; ; attempt++ {
		k, err := g.know(ctx)
		if err != nil {
			return "", k, g.ended(ctx, last)
		}
		if refusal := checkGenerate(k, g.ask); refusal != nil {
			return "", k, g.refusal(refusal)
		}
		if k, err = g.surveyed(ctx, k); err != nil {
			return "", k, g.ended(ctx, last)
		}
		runner, wait := g.pick(k)
		switch {
		case runner != "":
			return runner, k, nil
		case !wait:
			return "", k, g.refusal(last.refusal)
		}
		select {
		case <-ctx.Done():
			return "", k, g.ended(ctx, last)
		case <-g.clock.After(chooser.Backoff(attempt, g.seed)):
		}
	}
}

// pick returns the first runner in order that is not avoided, or none and
// whether waiting may yield one.
func (g *generation) pick(k knowledge) (buckthorndyke.RunnerID, bool) {
	now := g.clock.Now()
	order := k.order(g.ask, g.seed, now)
	refusals := 0
	for _, runner := range order {
		ownership, _, live := k.owner(runner)
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
