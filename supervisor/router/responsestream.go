package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// streamItem is a token, or the error that ends a response.
type streamItem struct {
	err   error
	token buckthorndyke.Token
}

// responseStream implements buckthorndyke.TokenStream for a caller.
type responseStream struct {
	// callerCtx ends when the caller cancels the request.
	callerCtx context.Context
	cancel    context.CancelFunc
	// ended is the final item, which Next returns on every later call. It is nil until
	// then.
	ended *streamItem
	// first is the item that was received before the stream was returned to the caller.
	first *streamItem
	items <-chan streamItem
}

// newResponseStream waits for the first item. It returns a stream that starts with
// it, or the error if the item is one.
func newResponseStream(callerCtx context.Context, cancel context.CancelFunc, items <-chan streamItem) (*responseStream, error) {
	s := &responseStream{callerCtx: callerCtx, cancel: cancel, items: items}
	first, err := s.receive(callerCtx)
	if err == nil {
		err = first.err
	}
	if err != nil {
		cancel()
		return nil, err
	}
	s.first = &first
	return s, nil
}

// Close implements buckthorndyke.TokenStream.
func (s *responseStream) Close() error {
	s.cancel()
	return nil
}

// Next implements buckthorndyke.TokenStream. After the end of the stream it repeats
// the last result.
func (s *responseStream) Next(ctx context.Context) (buckthorndyke.Token, error) {
	if s.ended != nil {
		return s.ended.token, s.ended.err
	}
	next, err := s.receive(ctx)
	if err != nil {
		return buckthorndyke.Token{}, err
	}
	if next.err != nil || next.token.Last {
		s.ended = &next
	}
	return next.token, next.err
}

// receive waits for the next item until ctx or the caller's context ends.
func (s *responseStream) receive(ctx context.Context) (streamItem, error) {
	if s.first != nil {
		next := *s.first
		s.first = nil
		return next, nil
	}
	select {
	case next := <-s.items:
		return next, nil
	case <-ctx.Done():
	case <-s.callerCtx.Done():
	}
	return streamItem{}, buckthorndyke.NewRefusal(
		buckthorndyke.CodeCallerGone, buckthorndyke.MayHaveRun, "the caller canceled the request")
}
