package connector

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
)

// hopHeaders are the headers that concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Content-Length", "Host", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// HTTPService reaches the backend servers of plain services. It implements
// buckthorndyke.Service. Each call has a connection of its own: one that a
// server closes while idle would leave open whether the call has run.
type HTTPService struct {
	bodyLimit int64
	http      *http.Client
}

// NewHTTPService returns the plain services that can be reached over HTTP.
func NewHTTPService(opts ...Option) *HTTPService {
	o := newOptions(opts)
	return &HTTPService{http: newHTTPClient(o, false), bodyLimit: o.bodyLimit}
}

// Call implements buckthorndyke.Service. An answer with any status is no error
// unless its VerdictHeader says that the call has not run.
func (s *HTTPService) Call(
	ctx context.Context, address string, call buckthorndyke.ServiceCall,
) (buckthorndyke.ServiceResponse, error) {
	e := &exchange{code: buckthorndyke.CodeServiceUnavailable, http: s.http, bodyLimit: s.bodyLimit}
	header := withoutHopHeaders(call.Header)
	header.Set(encoder.RequestHeader, string(call.Request))
	w, err := e.send(ctx, call.Method, callURL(address, call), header, call.Body)
	if err != nil {
		return buckthorndyke.ServiceResponse{}, err
	}
	defer func() { _ = w.Body.Close() }()
	body, err := e.read(ctx, w)
	if err != nil {
		return buckthorndyke.ServiceResponse{}, err
	}
	if buckthorndyke.ParseVerdict(w.Header.Get(encoder.VerdictHeader)) == buckthorndyke.NotRun {
		return buckthorndyke.ServiceResponse{}, buckthorndyke.NewRefusal(
			buckthorndyke.CodeServiceUnavailable, buckthorndyke.NotRun,
			fmt.Sprintf("the backend server at %s refused the call with %s", address, w.Status))
	}
	return buckthorndyke.ServiceResponse{Body: body, Header: withoutHopHeaders(w.Header), Status: w.StatusCode}, nil
}

// callURL returns the URL of a call, whose path is not escaped.
func callURL(address string, call buckthorndyke.ServiceCall) string {
	u := url.URL{Scheme: "http", Host: address, Path: call.Path, RawQuery: call.Query}
	return u.String()
}

// withoutHopHeaders returns a copy of h without those that concern one
// connection.
func withoutHopHeaders(h http.Header) http.Header {
	end := h.Clone()
	if end == nil {
		end = make(http.Header)
	}
	for _, name := range hopHeaders {
		end.Del(name)
	}
	return end
}
