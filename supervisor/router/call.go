package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// Call implements buckthorndyke.Gateway.
func (r *Router) Call(ctx context.Context, ask buckthorndyke.CallRequest) (buckthorndyke.ServiceResponse, error) {
	k, err := r.ready(ctx)
	if err != nil {
		return buckthorndyke.ServiceResponse{}, err
	}
	rule, ok := k.progress.State.Rules.Services.Get(ask.Call.Service)
	switch {
	case !ok:
		return buckthorndyke.ServiceResponse{}, refuse(buckthorndyke.CodeServiceUnknown,
			"no rule permits service "+string(ask.Call.Service))
	case !permitted(ask.Caller.Services, ask.Call.Service):
		return buckthorndyke.ServiceResponse{}, refuse(buckthorndyke.CodeForbidden,
			"the caller may not use service "+string(ask.Call.Service))
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.callTimeout.Duration())
	defer cancel()
	c := &call{Router: r, ask: ask, repeatable: rule.IsIdempotent(ask.Call.Method, ask.Call.Path)}
	if ask.Key != "" && !c.repeatable {
		return c.claimed(ctx)
	}
	return c.send(ctx)
}
