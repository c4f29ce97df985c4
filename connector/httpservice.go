package connector

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
)

// hopHeaders are the header fields that apply to a single connection and must not
// be forwarded.
var hopHeaders = []string{
	"Connection", "Content-Length", "Host", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// HTTPService calls the backend servers of plain services. It implements
// buckthorndyke.Service. Each call uses a new connection: if a call were sent on an
// idle connection that the server is closing, it would be unknown whether it ran.
type HTTPService struct {
	bodyLimit int64
	http      *http.Client
	memory    buckthorndyke.MemoryAccount
}

// NewHTTPService returns a client of plain services.
func NewHTTPService(opts ...Option) *HTTPService {
	o := newOptions(opts)
	return &HTTPService{bodyLimit: o.bodyLimit, http: newHTTPClient(o, false), memory: o.memory}
}

// Call implements buckthorndyke.Service. A response is returned without an error,
// whatever its status, unless its VerdictHeader says that the call has not run.
func (s *HTTPService) Call(
	ctx context.Context, address string, call buckthorndyke.ServiceCall,
) (buckthorndyke.ServiceResponse, error) {
	e := &exchange{bodyLimit: s.bodyLimit, code: buckthorndyke.CodeServiceUnavailable, http: s.http, memory: s.memory}
	header := withoutHopHeaders(call.Header)
	header.Set(encoder.RequestHeader, string(call.Request))
	resp, err := e.send(ctx, call.Method, callURL(address, call), header, call.Body)
	if err != nil {
		return buckthorndyke.ServiceResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := e.read(ctx, resp)
	if err != nil {
		return buckthorndyke.ServiceResponse{}, err
	}
	if buckthorndyke.ParseVerdict(resp.Header.Get(encoder.VerdictHeader)) == buckthorndyke.NotRun {
		return buckthorndyke.ServiceResponse{}, buckthorndyke.NewRefusal(
			buckthorndyke.CodeServiceUnavailable, buckthorndyke.NotRun,
			fmt.Sprintf("the backend server at %s refused the call with %s", address, resp.Status))
	}
	return buckthorndyke.ServiceResponse{Body: body, Header: withoutHopHeaders(resp.Header), Status: resp.StatusCode}, nil
}

// callURL returns the URL of call, whose path it escapes.
func callURL(address string, call buckthorndyke.ServiceCall) string {
	u := url.URL{Scheme: "http", Host: address, Path: call.Path, RawQuery: call.Query}
	return u.String()
}

// withoutHopHeaders returns a copy of h without hopHeaders. It is never nil.
func withoutHopHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
