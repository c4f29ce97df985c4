package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// Call implements buckthorndyke.Gateway.
func (r *Router) Call(ctx context.Context, req buckthorndyke.CallRequest) (buckthorndyke.ServiceResponse, error) {
	st, err := r.readyState(ctx)
	if err != nil {
		return buckthorndyke.ServiceResponse{}, err
	}
	rule, ok := st.update.State.Rules.Services.Get(req.Call.Service)
	switch {
	case !ok:
		return buckthorndyke.ServiceResponse{}, refuse(buckthorndyke.CodeServiceUnknown,
			"no rule permits service "+string(req.Call.Service))
	case !permitted(req.Caller.Services, req.Call.Service):
		return buckthorndyke.ServiceResponse{}, refuse(buckthorndyke.CodeForbidden,
			"the caller may not use service "+string(req.Call.Service))
	}
	if _, limited := ctx.Deadline(); !limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.options.callTimeout.Duration())
		defer cancel()
	}
	c := &call{Router: r, request: req, repeatable: rule.IsIdempotent(req.Call.Method, req.Call.Path)}
	if req.Key != "" && !c.repeatable {
		return c.sendOnce(ctx)
	}
	return c.send(ctx)
}
