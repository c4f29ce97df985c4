package connector

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/gatherer"
)

// exchange is one HTTP request, which is sent at most once, and its response.
type exchange struct {
	bodyLimit int64
	// code is the code of the error if the request fails without a refusal from the
	// server.
	code buckthorndyke.Code
	// connected is set once the request has a connection, from when on its bytes can
	// leave this process.
	connected bool
	http      *http.Client
	// memory is the account of the memory for the response.
	memory buckthorndyke.MemoryAccount
}

// read returns the body of a response. It fails if the body exceeds the limit, or if there is
// too little memory for it.
func (e *exchange) read(ctx context.Context, resp *http.Response) ([]byte, error) {
	body := gatherer.New(e.memory)
	defer body.Close()
	err := body.ReadAll(ctx, resp.Body, int(e.bodyLimit))
	switch {
	case err == nil:
		return body.Bytes(), nil
	case errors.Is(err, gatherer.ErrTooLarge):
		return nil, buckthorndyke.NewRefusal(buckthorndyke.CodeTooLarge, buckthorndyke.MayHaveRun,
			fmt.Sprintf("the response exceeds %d bytes", e.bodyLimit))
	case errors.Is(err, buckthorndyke.ErrMemory):
		return nil, buckthorndyke.ErrMemory.WithVerdict(buckthorndyke.MayHaveRun)
	default:
		return nil, e.wrapError(ctx, err)
	}
}

// send sends the request and returns the response, whose body the caller closes.
func (e *exchange) send(
	ctx context.Context, method, url string, header http.Header, body []byte,
) (*http.Response, error) {
	if int64(len(body)) > e.bodyLimit {
		return nil, buckthorndyke.NewRefusal(buckthorndyke.CodeTooLarge, buckthorndyke.NotRun,
			fmt.Sprintf("the request has %d bytes, the limit is %d bytes", len(body), e.bodyLimit))
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { e.connected = true },
	})
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, badRequest(err)
	}
	// Without GetBody, the transport cannot repeat the request by itself.
	r.GetBody = nil
	for key, values := range header {
		r.Header[key] = values
	}
	resp, err := e.http.Do(r)
	if err != nil {
		return nil, e.wrapError(ctx, err)
	}
	return resp, nil
}

// wrapError returns err as a refusal. Its verdict is NotRun only if the request had
// no connection.
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

// wrapRefusal returns err as a refusal. Its code is CodeDeadline if ctx has ended.
func wrapRefusal(ctx context.Context, code buckthorndyke.Code, verdict buckthorndyke.Verdict, err error) error {
	if ctx.Err() != nil {
		code = buckthorndyke.CodeDeadline
	}
	return fmt.Errorf("%w: %w", buckthorndyke.NewRefusal(code, verdict, "the request failed"), err)
}
