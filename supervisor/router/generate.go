package router

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndyke/buckthorndyke"
)

// itemCapacity is the number of tokens that are buffered for a slow caller, so that
// the job does not occupy its slot on the runner for longer than the runner needs.
const itemCapacity = 1024

// Generate implements buckthorndyke.Gateway. It returns when the first token has
// arrived, or fails when the caller's rank allows no more time for it. The stream ends
// with ctx or Close, either of which also cancels the job on the runner.
func (r *Router) Generate(
	ctx context.Context, req buckthorndyke.GenerateRequest,
) (buckthorndyke.TokenStream, error) {
	st, err := r.readyState(ctx)
	if err != nil {
		return nil, err
	}
	if refusal := checkGenerate(st, r.clock.Now(), req); refusal != nil {
		return nil, refusal
	}
	rank := st.update.State.Rules.RankRuleOf(req.Caller.Rank)
	req.MaxTokens = boundTokens(req.MaxTokens, rank.MaxTokens)
	if err := r.box.Send(ctx, requestMessage{}); err != nil {
		return nil, refuse(buckthorndyke.CodeCallerGone, "the caller canceled the request")
	}
	ctx, cancelStream := context.WithCancel(ctx)
	workCtx, cancelWork := context.WithCancelCause(ctx)
	items := make(chan streamItem, min(req.MaxTokens+1, itemCapacity))
	g := &generateTask{
		Router:      r,
		avoided:     make(map[buckthorndyke.RunnerID]avoidance),
		deadline:    newDeadline(r.clock, rank.FirstToken, cancelWork),
		fingerprint: fingerprintOf(req),
		items:       items,
		request:     req,
		seed:        xxhash.Sum64String(string(req.ID)),
	}
	go func() {
		defer cancelWork(nil)
		g.serve(ctx, workCtx)
	}()
	return newResponseStream(ctx, cancelStream, items)
}

// boundTokens returns the maximum number of tokens of a response. A request for 0 or
// less means the limit.
func boundTokens(requested, limit int) int {
	if requested <= 0 {
		return limit
	}
	return min(requested, limit)
}

// checkGenerate returns a refusal if no runner may serve the request, or nil.
func checkGenerate(st routerState, now buckthorndyke.Millis, req buckthorndyke.GenerateRequest) *buckthorndyke.RefusalError {
	state := st.update.State
	switch {
	case !state.Rules.Models.Has(req.Model):
		return refuse(buckthorndyke.CodeModelUnknown, "no rule permits model "+string(req.Model))
	case !permitted(req.Caller.Models, req.Model):
		return refuse(buckthorndyke.CodeForbidden, "the caller may not use model "+string(req.Model))
	case st.quarantined(fingerprintOf(req), now):
		return refuse(buckthorndyke.CodeQuarantined, "this request has crashed runners and is quarantined")
	default:
		return nil
	}
}

// fingerprintOf identifies the content of a request.
func fingerprintOf(req buckthorndyke.GenerateRequest) buckthorndyke.Fingerprint {
	return fingerprint(string(req.Model), req.Prompt)
}
