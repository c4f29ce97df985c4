package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// Authenticate implements buckthorndyke.Gateway.
func (r *Router) Authenticate(ctx context.Context, token string) (buckthorndyke.CallerRule, error) {
	st, err := r.readyState(ctx)
	if err != nil {
		return buckthorndyke.CallerRule{}, err
	}
	digest := sha256.Sum256([]byte(token))
	caller, ok := st.update.State.Rules.CallerByToken(hex.EncodeToString(digest[:]))
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
