package connector

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/buckthorndyke/buckthorndyke"
)

// exchange is one request that is sent at most once.
type exchange struct {
	bodyLimit int64
	// code is that of the error of an exchange that fails.
	code buckthorndyke.Code
	// connected is set once a connection was given to the request, from when on
	// its bytes can leave.
	connected bool
	http      *http.Client
}

// read returns the body of an answer, which is within the limit.
func (e *exchange) read(ctx context.Context, w *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(w.Body, e.bodyLimit+1))
	if err != nil {
		return nil, e.wrapError(ctx, err)
	}
	if int64(len(body)) > e.bodyLimit {
		return nil, buckthorndyke.NewRefusal(buckthorndyke.CodeTooLarge, buckthorndyke.MayHaveRun,
			fmt.Sprintf("the answer exceeds %d bytes", e.bodyLimit))
	}
	return body, nil
}

// send sends the request and returns the answer, whose body the caller closes.
func (e *exchange) send(
	ctx context.Context, method, url string, header http.Header, body []byte,
) (*http.Response, error) {
	if int64(len(body)) > e.bodyLimit {
		return nil, buckthorndyke.NewRefusal(buckthorndyke.CodeTooLarge, buckthorndyke.NotRun,
			fmt.Sprintf("the request of %d bytes exceeds %d bytes", len(body), e.bodyLimit))
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { e.connected = true },
	})
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, badRequest(err)
	}
	// Without GetBody the transport cannot send the body again.
	r.GetBody = nil
	for key, values := range header {
		r.Header[key] = values
	}
	w, err := e.http.Do(r)
	if err != nil {
		return nil, e.wrapError(ctx, err)
	}
	return w, nil
}

// fail returns err as a refusal with the verdict that the exchange allows.
func (e *exchange) wrapError(ctx context.Context, err error) error {
	verdict := buckthorndyke.NotRun
	if e.connected {
		verdict = buckthorndyke.MayHaveRun
	}
	return wrapRefusal(ctx, e.code, verdict, err)
}

// badRequest returns the error of a request that cannot be encoded.
func badRequest(err error) error {
	refusal := buckthorndyke.NewRefusal(
		buckthorndyke.CodeBadRequest, buckthorndyke.NotRun, "the request cannot be encoded")
	return fmt.Errorf("%w: %w", refusal, err)
}

// refuse returns err as a refusal. The error of an ended context has the code
// CodeDeadline.
func wrapRefusal(ctx context.Context, code buckthorndyke.Code, verdict buckthorndyke.Verdict, err error) error {
	if ctx.Err() != nil {
		code = buckthorndyke.CodeDeadline
	}
	return fmt.Errorf("%w: %w", buckthorndyke.NewRefusal(code, verdict, "the request failed"), err)
}
