package selector_test

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

// describe completes the query of a request.
func (s *site) describe(r *simRequest) {
	r.query.OutputTokens, r.query.Tokens = s.outputTokens, r.tokens
	if r.query.Prefix != 0 {
		r.query.PrefixTokens = prefixTokens
	}
	if !s.withoutTimes {
		r.query.Target = r.target
	}
}

// take returns the view after a request was sent to a server.
func (s *site) take(vm *simVM, r *simRequest, b buckthorndyke.Backend) {
	r.load = selector.Load{Requests: 1, Tokens: r.tokens, Unread: vm.view.UncachedTokens(b, r.query)}
	r.sent = selector.Sent{Backend: b, Key: r.query.Key, OutputTokens: s.outputTokens, ReadTokens: vm.view.ReadTokens(b, r.query)}
	vm.view = vm.view.WithTarget(r.query)
	r.yields = !s.ignoreLong && vm.view.Yields(b, r.query)
	vm.view = vm.view.WithLoad(b.ID, r.load)
}

// reject applies that a runner has rejected a request.
func (s *site) reject(vm *simVM, r *simRequest, id buckthorndyke.RunnerID, sent buckthorndyke.Millis) {
	vm.view = vm.view.WithLoad(id, r.load.Negative()).WithFull(id, sent, s.now)
	r.retry = true
	vm.waiting = append([]*simRequest{r}, vm.waiting...)
	s.offer(vm)
}

// began applies the first event of a response.
func (s *site) began(vm *simVM, r *simRequest, runner *simRunner, sent buckthorndyke.Millis) {
	vm.view = vm.view.WithLoad(runner.id, selector.Load{Unread: -r.load.Unread}).
		WithFirstEvent(r.sent, max(s.now-sent, 1), s.now, vm.domain)
	r.load.Unread = 0
	r.began = s.now
}

// end applies the end of a response.
func (s *site) end(vm *simVM, r *simRequest, runner *simRunner, sent buckthorndyke.Millis) {
	vm.view = vm.view.WithLoad(runner.id, r.load.Negative()).WithSuccess(runner.id).
		WithRoomUsed(runner.id, sent, s.now).WithRest(r.sent, s.now-r.began, s.now)
	s.offer(vm)
}
