package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// item is a token or the error that ends an answer.
type item struct {
	err   error
	token buckthorndyke.Token
}

// answer implements buckthorndyke.TokenStream for a caller.
type answer struct {
	// caller ends when the caller leaves.
	caller context.Context
	// ended is the result of each Next after the last.
	ended *item
	// first is the item that was received before the caller got the stream.
	first *item
	items <-chan item
	leave context.CancelFunc
}

// newAnswer returns an answer whose first token is there, or the error that came
// in its place.
func newAnswer(caller context.Context, leave context.CancelFunc, items <-chan item) (*answer, error) {
	a := &answer{caller: caller, items: items, leave: leave}
	first, err := a.receive(caller)
	if err == nil {
		err = first.err
	}
	if err != nil {
		leave()
		return nil, err
	}
	a.first = &first
	return a, nil
}

// Close implements buckthorndyke.TokenStream.
func (a *answer) Close() error {
	a.leave()
	return nil
}

// Next implements buckthorndyke.TokenStream. After the end it returns the last
// result again.
func (a *answer) Next(ctx context.Context) (buckthorndyke.Token, error) {
	if a.ended != nil {
		return a.ended.token, a.ended.err
	}
	next, err := a.receive(ctx)
	if err != nil {
		return buckthorndyke.Token{}, err
	}
	if next.err != nil || next.token.Last {
		a.ended = &next
	}
	return next.token, next.err
}

// receive waits for the next item.
func (a *answer) receive(ctx context.Context) (item, error) {
	if a.first != nil {
		next := *a.first
		a.first = nil
		return next, nil
	}
	select {
	case next := <-a.items:
		return next, nil
	case <-ctx.Done():
	case <-a.caller.Done():
	}
	return item{}, buckthorndyke.NewRefusal(
		buckthorndyke.CodeCallerGone, buckthorndyke.MayHaveRun, "the caller left")
}
