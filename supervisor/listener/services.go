package listener

import (
	"context"
	"io"
	"net/http"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"github.com/buckthorndyke/buckthorndyke"
)

// headerIdempotencyKey names the header with the caller's key for a call that
// must not run twice.
const headerIdempotencyKey = "Idempotency-Key"

// privateHeaders are not passed between callers and services.
var privateHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Cookie", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// call passes a call to a plain service.
func (l *Listener) call(ctx iris.Context) {
	caller, err := l.authenticate(ctx)
	if err != nil {
		writeRefusal(ctx, buckthorndyke.RefusalOf(err))
		return
	}
	r := ctx.Request()
	body, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), r.Body, l.limits.Body))
	if err != nil {
		writeRefusal(ctx, readRefusal(err))
		return
	}
	id := uuid.NewString()
	ctx.Header(headerRequest, id)
	deadline, cancel := context.WithTimeout(r.Context(), l.limits.Request.Duration())
	defer cancel()
	answer, err := l.gateway.Call(deadline, buckthorndyke.CallRequest{
		Call: buckthorndyke.ServiceCall{
			Body:    body,
			Header:  publicHeader(r.Header),
			Method:  r.Method,
			Path:    "/" + ctx.Params().Get("path"),
			Query:   r.URL.RawQuery,
			Request: buckthorndyke.RequestID(id),
			Service: buckthorndyke.ServiceID(ctx.Params().Get("service")),
		},
		Caller: caller,
		Key:    r.Header.Get(headerIdempotencyKey),
	})
	if err != nil {
		writeRefusal(ctx, buckthorndyke.RefusalOf(err))
		return
	}
	for name, values := range publicHeader(answer.Header) {
		for _, value := range values {
			ctx.ResponseWriter().Header().Add(name, value)
		}
	}
	ctx.Header(headerVerdict, buckthorndyke.Ran.String())
	ctx.StatusCode(answer.Status)
	_, _ = ctx.Write(answer.Body)
}

// publicHeader returns a copy of h without the private headers.
func publicHeader(h http.Header) http.Header {
	public := h.Clone()
	if public == nil {
		public = http.Header{}
	}
	for _, name := range privateHeaders {
		public.Del(name)
	}
	return public
}
