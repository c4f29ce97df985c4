package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// item is a token or the error that ends an answer.
type streamItem struct {
	err   error
	token buckthorndyke.Token
}

// answer implements buckthorndyke.TokenStream for a caller.
type responseStream struct {
	// caller ends when the caller leaves.
	callerCtx context.Context
	cancel    context.CancelFunc
	// ended is the result of each Next after the last.
	ended *streamItem
	// first is the item that was received before the caller got the stream.
	first *streamItem
	items <-chan streamItem
}

// newAnswer returns an answer whose first token is there, or the error that came
// in its place.
func newResponseStream(callerCtx context.Context, cancel context.CancelFunc, items <-chan streamItem) (*responseStream, error) {
	s := &responseStream{callerCtx: callerCtx, items: items, cancel: cancel}
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

// Next implements buckthorndyke.TokenStream. After the end it returns the last
// result again.
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

// receive waits for the next item.
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
		buckthorndyke.CodeCallerGone, buckthorndyke.MayHaveRun, "the caller left")
}
