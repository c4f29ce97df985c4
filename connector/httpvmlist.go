package connector

import (
	"context"
	"net/http"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// HTTPVMList reaches the platform's VM list. It implements buckthorndyke.VMList.
// A list that has not changed since the last read is not sent again (RFC 9110,
// section 13.1.2), since at a large fleet it would be most of what control sends.
type HTTPVMList struct {
	client
	// last holds the last list. Who takes it puts it back.
	last chan taggedVMs
}

// taggedVMs is a list with the entity tag that the platform gave it.
type taggedVMs struct {
	etag string
	vms  []buckthorndyke.VM
}

// NewHTTPVMList returns the VM list at address.
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
	w, err := e.send(ctx, http.MethodGet, l.url("/v1/vms", nil), header, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.Body.Close() }()
	switch {
	case w.StatusCode == http.StatusNotModified && last.etag != "":
		return slices.Clone(last.vms), nil
	case w.StatusCode != http.StatusOK:
		return nil, l.responseError(ctx, e, w)
	}
	var out wire.ListVMsResponse
	body, err := e.read(ctx, w)
	if err != nil {
		return nil, err
	}
	if err := encoder.DecodeJSON(body, &out); err != nil {
		return nil, e.wrapError(ctx, err)
	}
	vms := encoder.DecodeVMs(&out)
	l.replace(taggedVMs{etag: w.Header.Get("ETag"), vms: vms})
	return slices.Clone(vms), nil
}

// replace keeps next as the last list.
func (l *HTTPVMList) replace(next taggedVMs) {
	<-l.last
	l.last <- next
}
