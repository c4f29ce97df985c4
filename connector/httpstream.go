package connector

import (
	"bufio"
	"context"
	"errors"
	"io"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
)

// drainTimeout limits the wait for the end of the body after the end marker. A body
// that was read to its end lets its connection be reused.
const drainTimeout = 1 * buckthorndyke.Second

// streamBuffer is the maximum number of tokens that wait for the reader of a stream.
const streamBuffer = 16

// streamItem is the next token of a stream, or the error that ended it.
type streamItem struct {
	err   error
	token buckthorndyke.Token
}

// httpStream is the response to one job, sent as server-sent events. Its methods are
// not safe for concurrent use.
type httpStream struct {
	cancel context.CancelFunc
	// finalErr is returned by Next once the stream has ended.
	finalErr error
	items    chan streamItem
}

// newHTTPStream starts a goroutine that reads body until it ends or ctx does.
func newHTTPStream(
	ctx context.Context, cancel context.CancelFunc, body io.ReadCloser, job buckthorndyke.Job,
) *httpStream {
	s := &httpStream{cancel: cancel, items: make(chan streamItem, streamBuffer)}
	go func() {
		defer cancel()
		defer func() { _ = body.Close() }()
		if s.receive(ctx, newTokenReader(bufio.NewReader(body), job)) {
			drain(body, cancel)
		}
	}()
	return s
}

// Close implements buckthorndyke.TokenStream.
func (s *httpStream) Close() error {
	if !errors.Is(s.finalErr, io.EOF) {
		s.cancel()
	}
	return nil
}

// Next implements buckthorndyke.TokenStream. After the end marker, it returns io.EOF.
func (s *httpStream) Next(ctx context.Context) (buckthorndyke.Token, error) {
	if s.finalErr != nil {
		return buckthorndyke.Token{}, s.finalErr
	}
	select {
	case item, ok := <-s.items:
		if !ok {
			item.err = buckthorndyke.NewRefusal(
				buckthorndyke.CodeCallerGone, buckthorndyke.MayHaveRun, "the stream was closed")
		}
		s.finalErr = item.err
		if item.token.Last {
			s.finalErr = io.EOF
		}
		return item.token, item.err
	case <-ctx.Done():
		return buckthorndyke.Token{}, wrapRefusal(
			ctx, buckthorndyke.CodeDeadline, buckthorndyke.MayHaveRun, context.Cause(ctx))
	}
}

// receive sends tokens to the reader until the end marker or an error, and reports
// whether it reached the end marker.
func (s *httpStream) receive(ctx context.Context, r *tokenReader) bool {
	defer close(s.items)
	for {
		token, err := r.next()
		select {
		case s.items <- streamItem{err: err, token: token}:
		case <-ctx.Done():
			return false
		}
		if err != nil || token.Last {
			return err == nil
		}
	}
}

// drain reads the rest of body, within drainTimeout.
func drain(body io.Reader, cancel context.CancelFunc) {
	timer := time.AfterFunc(drainTimeout.Duration(), cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxEventBytes))
}
