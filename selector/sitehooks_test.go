package selector_test

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

// describe completes the query of a request.
func (s *site) describe(*simRequest) {}

// loadOf returns what a request adds to the load of its server.
func (s *site) loadOf(r *simRequest) selector.Load {
	return selector.Load{Requests: 1, Tokens: r.tokens}
}

// reject applies that a runner has rejected a request.
func (s *site) reject(vm *simVM, r *simRequest, id buckthorndyke.RunnerID, sent buckthorndyke.Millis) {
	vm.view = vm.view.WithLoad(id, selector.Load{Requests: -1, Tokens: -r.tokens}).WithFull(id, sent, s.now)
	r.retry = true
	vm.waiting = append([]*simRequest{r}, vm.waiting...)
	s.offer(vm)
}

// began applies the first event of a response.
func (s *site) began(*simVM, *simRequest, *simRunner, buckthorndyke.Millis) {}

// end applies the end of a response.
func (s *site) end(vm *simVM, r *simRequest, runner *simRunner, sent buckthorndyke.Millis) {
	vm.view = vm.view.WithLoad(runner.id, selector.Load{Requests: -1, Tokens: -r.tokens}).WithSuccess(runner.id).
		WithRoomUsed(runner.id, sent, s.now)
	s.offer(vm)
}
