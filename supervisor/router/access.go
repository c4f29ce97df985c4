package router

import (
	"context"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/authenticator"
)

// Authenticate implements buckthorndyke.Gateway.
func (r *Router) Authenticate(ctx context.Context, credential buckthorndyke.Credential) (buckthorndyke.CallerRule, error) {
	st, err := r.readyState(ctx)
	if err != nil {
		return buckthorndyke.CallerRule{}, err
	}
	caller, ok := authenticator.HolderOf(credential, st.update.State.Rules.CallerByKey)
	if !ok {
		return caller, refuse(buckthorndyke.CodeUnauthenticated, "no caller has this token")
	}
	return caller, nil
}

// Models implements buckthorndyke.Gateway.
func (r *Router) Models(ctx context.Context, caller buckthorndyke.CallerRule) ([]buckthorndyke.ModelRule, error) {
	st, err := r.readyState(ctx)
	if err != nil {
		return nil, err
	}
	var models []buckthorndyke.ModelRule
	for id, model := range st.update.State.Rules.Models.All() {
		if permitted(caller.Models, id) {
			models = append(models, model)
		}
	}
	return models, nil
}

// permitted reports whether list contains id. An empty list permits every id.
func permitted[T comparable](list []T, id T) bool {
	return len(list) == 0 || slices.Contains(list, id)
}
