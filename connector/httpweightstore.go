package connector

import (
	"context"
	"net/http"
	"net/url"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// HTTPWeightStore is a client of the platform's weight store. It implements
// buckthorndyke.WeightStore.
type HTTPWeightStore struct {
	client
}

// NewHTTPWeightStore returns a client of the weight store at address.
func NewHTTPWeightStore(address string, opts ...Option) *HTTPWeightStore {
	return &HTTPWeightStore{client: newClient(address, buckthorndyke.CodeServiceUnavailable, opts)}
}

// Describe implements buckthorndyke.WeightStore.
func (s *HTTPWeightStore) Describe(
	ctx context.Context, model buckthorndyke.ModelID,
) (buckthorndyke.Checkpoint, error) {
	var out wire.DescribeCheckpointResponse
	path := "/v1/checkpoints/" + url.PathEscape(string(model))
	if err := s.call(ctx, http.MethodGet, path, nil, nil, &out); err != nil {
		return buckthorndyke.Checkpoint{}, err
	}
	return buckthorndyke.Checkpoint{Model: buckthorndyke.ModelID(out.Model), SizeMB: int(out.SizeMb)}, nil
}
