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
	ctx context.Context, req buckthorndyke.GenerateRequest,
) (buckthorndyke.TokenStream, error) {
	st, err := r.readyState(ctx)
	if err != nil {
		return nil, err
	}
	if refusal := checkGenerate(st, req); refusal != nil {
		return nil, refusal
	}
	rank := st.update.State.Rules.RankRuleOf(req.Caller.Rank)
	req.MaxTokens = boundTokens(req.MaxTokens, rank.MaxTokens)
	if err := r.box.Send(ctx, requestMessage{}); err != nil {
		return nil, refuse(buckthorndyke.CodeCallerGone, "the caller left")
	}
	ctx, leave := context.WithCancel(ctx)
	workCtx, cancel := context.WithCancelCause(ctx)
	items := make(chan streamItem, min(req.MaxTokens+1, itemCapacity))
	g := &generateTask{
		Router:      r,
		avoided:     make(map[buckthorndyke.RunnerID]avoidance),
		deadline:    newDeadline(r.clock, rank.FirstToken, cancel),
		fingerprint: fingerprintOf(req),
		items:       items,
		request:     req,
		seed:        xxhash.Sum64String(string(req.ID)),
	}
	go func() {
		defer cancel(nil)
		g.serve(ctx, workCtx)
	}()
	return newResponseStream(ctx, leave, items)
}

// boundTokens returns the number of tokens of an answer.
func boundTokens(requested, limit int) int {
	if requested <= 0 {
		return limit
	}
	return min(requested, limit)
}

// checkGenerate returns the refusal of a request that no runner may serve.
func checkGenerate(st routerState, req buckthorndyke.GenerateRequest) *buckthorndyke.RefusalError {
	state := st.update.State
	switch {
	case !state.Rules.Models.Has(req.Model):
		return refuse(buckthorndyke.CodeModelUnknown, "no rule permits model "+string(req.Model))
	case !permitted(req.Caller.Models, req.Model):
		return refuse(buckthorndyke.CodeForbidden, "the caller may not use model "+string(req.Model))
	case state.Quarantines.Has(fingerprintOf(req)), st.suspects.Stopped(fingerprintOf(req)):
		return refuse(buckthorndyke.CodeQuarantined, "this request has crashed runners")
	default:
		return nil
	}
}

// fingerprintOf identifies the content of a request.
func fingerprintOf(req buckthorndyke.GenerateRequest) buckthorndyke.Fingerprint {
	return fingerprint(string(req.Model), req.Prompt)
}
