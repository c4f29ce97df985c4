package endtoend

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/buckthorndyke/buckthorndyke/asserter"
)

const (
	// closingTime is how long after SIGTERM a VM closes the connections that wait for a request.
	closingTime = 2600 * time.Millisecond
	// closingSpread is how long before and after closingTime idle clients begin to send.
	closingSpread = 100 * time.Millisecond
	// idleClients is the number of clients that keep connections to a VM that is stopped.
	idleClients = 64
)

// stopVM stops a VM and starts it again. Clients keep idle connections to it, on which they send
// around the time at which it closes them, and go on until the process has ended. In one of
// two cases the process does not run at that time, so that it reads requests and closes
// connections at once.
func (s *soak) stopVM(vm int) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.ctx, stopTimeout)
	defer cancel()
	running, exited := context.WithCancel(s.ctx)
	defer exited()
	var connected, clients sync.WaitGroup
	connected.Add(idleClients)
	stopped := make(chan struct{})
	lists := make(chan []recordedResponse, idleClients)
	for n := range idleClients {
		delay := closingTime - closingSpread + time.Duration(s.random.Int64N(int64(2*closingSpread)))
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			list := []recordedResponse{s.send(client, vm, s.newRequest(1))}
			connected.Done()
			<-stopped
			random := rand.New(rand.NewPCG(s.seed, uint64(n)))
			for ; running.Err() == nil; delay = time.Duration(random.Int64N(int64(closingSpread))) {
				<-time.After(delay)
				list = append(list, s.send(client, vm, s.newRequest(1)))
			}
			lists <- list
		})
	}
	connected.Wait()
	pauses := s.random.IntN(2) == 0
	clients.Go(func() {
		<-stopped
		<-time.After(closingTime - closingSpread)
		if pauses {
			asserter.NoError(s.t, s.processes[vm].Pause())
			<-time.After(2 * closingSpread)
			asserter.NoError(s.t, s.processes[vm].Resume())
		}
	})
	close(stopped)
	code, err := s.processes[vm].Stop(ctx)
	exited()
	clients.Wait()
	close(lists)
	for list := range lists {
		s.stopResponses = append(s.stopResponses, list...)
	}
	asserter.NoError(s.t, err)
	asserter.Equal(s.t, code, 0)
	s.startVM(vm)
}
