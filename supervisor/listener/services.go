package listener

import (
	"context"
	"io"
	"net/http"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"github.com/buckthorndyke/buckthorndyke"
)

// headerIdempotencyKey is the request header with the key by which repetitions of
// a call are recognized, so that it does not run twice.
const headerIdempotencyKey = "Idempotency-Key"

// unforwardedHeaders are removed from requests to services and from their
// responses: credentials and headers that concern only one connection or message.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Cookie", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// call handles calls to plain services.
func (l *Listener) call(ctx iris.Context) {
	caller, err := l.authenticate(ctx)
	if err != nil {
		writeRefusal(ctx, buckthorndyke.RefusalOf(err))
		return
	}
	r := ctx.Request()
	body, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), r.Body, l.limits.Body))
	if err != nil {
		writeRefusal(ctx, unreadableBody(err))
		return
	}
	id := uuid.NewString()
	ctx.Header(headerRequestID, id)
	requestCtx, cancel := context.WithTimeout(r.Context(), l.limits.Request.Duration())
	defer cancel()
	response, err := l.gateway.Call(requestCtx, buckthorndyke.CallRequest{
		Call: buckthorndyke.ServiceCall{
			Body:    body,
			Header:  forwardedHeader(r.Header),
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
	for name, values := range forwardedHeader(response.Header) {
		for _, value := range values {
			ctx.ResponseWriter().Header().Add(name, value)
		}
	}
	ctx.Header(headerVerdict, buckthorndyke.Ran.String())
	ctx.StatusCode(response.Status)
	_, _ = ctx.Write(response.Body)
}

// forwardedHeader returns a copy of h without unforwardedHeaders.
func forwardedHeader(h http.Header) http.Header {
	forwarded := h.Clone()
	if forwarded == nil {
		forwarded = http.Header{}
	}
	for _, name := range unforwardedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
