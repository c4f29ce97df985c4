package connector

import (
	"context"
	"net/http"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// HTTPVMList reaches the platform's VM list. It implements buckthorndyke.VMList.
type HTTPVMList struct {
	client
}

// NewHTTPVMList returns the VM list at address.
func NewHTTPVMList(address string, opts ...Option) *HTTPVMList {
	return &HTTPVMList{client: newClient(address, buckthorndyke.CodeServiceUnavailable, opts)}
}

// List implements buckthorndyke.VMList.
func (l *HTTPVMList) List(ctx context.Context) ([]buckthorndyke.VM, error) {
	var out wire.ListVMsResponse
	if err := l.call(ctx, http.MethodGet, "/v1/vms", nil, nil, &out); err != nil {
		return nil, err
	}
	return encoder.DecodeVMs(&out), nil
}
