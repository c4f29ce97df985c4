package router

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndyke/buckthorndyke"
)

// itemCapacity bounds the tokens that wait for a slow caller, so that a caller
// does not hold a runner's place for longer than the runner needs.
const itemCapacity = 1024

// Generate implements buckthorndyke.Gateway. It returns once the first token is
// there, within the time that the caller's rank is promised. The stream ends
// with ctx or its Close, which also cancel the job at the runner.
func (r *Router) Generate(
	ctx context.Context, ask buckthorndyke.GenerateRequest,
) (buckthorndyke.TokenStream, error) {
	k, err := r.ready(ctx)
	if err != nil {
		return nil, err
	}
	if refusal := checkGenerate(k, ask); refusal != nil {
		return nil, refusal
	}
	rank := k.progress.State.Rules.RankRuleOf(ask.Caller.Rank)
	ask.MaxTokens = boundTokens(ask.MaxTokens, rank.MaxTokens)
	if err := r.box.Send(ctx, requestMessage{}); err != nil {
		return nil, refuse(buckthorndyke.CodeCallerGone, "the caller left")
	}
	ctx, leave := context.WithCancel(ctx)
	work, cancel := context.WithCancelCause(ctx)
	items := make(chan item, min(ask.MaxTokens+1, itemCapacity))
	g := &generation{
		Router:      r,
		ask:         ask,
		avoided:     make(map[buckthorndyke.RunnerID]avoidance),
		deadline:    newDeadline(r.clock, rank.FirstToken, cancel),
		fingerprint: fingerprintOf(ask),
		items:       items,
		seed:        xxhash.Sum64String(string(ask.ID)),
	}
	go func() {
		defer cancel(nil)
		g.serve(ctx, work)
	}()
	return newAnswer(ctx, leave, items)
}

// boundTokens returns the number of tokens of an answer.
func boundTokens(asked, limit int) int {
	if asked <= 0 {
		return limit
	}
	return min(asked, limit)
}

// checkGenerate returns the refusal of a request that no runner may serve.
func checkGenerate(k knowledge, ask buckthorndyke.GenerateRequest) *buckthorndyke.RefusalError {
	state := k.progress.State
	switch {
	case !state.Rules.Models.Has(ask.Model):
		return refuse(buckthorndyke.CodeModelUnknown, "no rule permits model "+string(ask.Model))
	case !permitted(ask.Caller.Models, ask.Model):
		return refuse(buckthorndyke.CodeForbidden, "the caller may not use model "+string(ask.Model))
	case state.Quarantines.Has(fingerprintOf(ask)), k.suspects.Stopped(fingerprintOf(ask)):
		return refuse(buckthorndyke.CodeQuarantined, "this request has crashed runners")
	default:
		return nil
	}
}

// fingerprintOf identifies the content of a request.
func fingerprintOf(ask buckthorndyke.GenerateRequest) buckthorndyke.Fingerprint {
	return fingerprint(string(ask.Model), ask.Prompt)
}
