package connector

import (
	"context"
	"net/http"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// HTTPVMList is a client of the platform's VM list. It implements
// buckthorndyke.VMList. It uses conditional requests (RFC 9110, section 13.1.2), so
// that an unchanged list is not sent again: with many VMs, the lists would be most
// of the control traffic.
type HTTPVMList struct {
	client
	// last holds the list that was read last. It always holds one value: a reader
	// puts back what it takes.
	last chan taggedVMs
}

// taggedVMs is a list with its entity tag.
type taggedVMs struct {
	etag string
	vms  []buckthorndyke.VM
}

// NewHTTPVMList returns a client of the VM list at address.
func NewHTTPVMList(address string, opts ...Option) *HTTPVMList {
	last := make(chan taggedVMs, 1)
	last <- taggedVMs{}
	return &HTTPVMList{client: newClient(address, buckthorndyke.CodeServiceUnavailable, opts), last: last}
}

// List implements buckthorndyke.VMList.
func (l *HTTPVMList) List(ctx context.Context) ([]buckthorndyke.VM, error) {
	last := <-l.last
	l.last <- last
	header := http.Header{}
	if last.etag != "" {
		header.Set("If-None-Match", last.etag)
	}
	e := l.exchange()
	resp, err := e.send(ctx, http.MethodGet, l.url("/v1/vms", nil), header, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotModified && last.etag != "":
		return slices.Clone(last.vms), nil
	case resp.StatusCode != http.StatusOK:
		return nil, l.responseError(ctx, e, resp)
	}
	var out wire.ListVMsResponse
	body, err := e.read(ctx, resp)
	if err != nil {
		return nil, err
	}
	if err := encoder.DecodeJSON(body, &out); err != nil {
		return nil, e.wrapError(ctx, err)
	}
	vms := encoder.DecodeVMs(&out)
	l.replace(taggedVMs{etag: resp.Header.Get("ETag"), vms: vms})
	return slices.Clone(vms), nil
}

// replace stores next as the list that was read last.
func (l *HTTPVMList) replace(next taggedVMs) {
	<-l.last
	l.last <- next
}
