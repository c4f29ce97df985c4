// Command late stops a process with SIGTERM, as the platform does, and sends streams on channels
// that were opened before the balancer took the process out of rotation.
package main

import (
	"fmt"
	"net/http"
	"review/lab"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	model = "daka510000"
	// consumers is the number of consumers that open a channel while the process stops.
	consumers = 6
	// timeout is the route's time-out and the consumers' deadline, as of lot-appraisal.
	timeout = 15 * time.Second
	// eventGap is the pause between two events, shortEvents and longEvents the lengths of the
	// streams before the stop and during it. The site file has 13.9 pieces in the mean, 55.5 at most.
	eventGap                = 100 * time.Millisecond
	shortEvents, longEvents = 10, 45
	// openAt and sendAt are times after SIGTERM. The requests are sent later than 3 s after it.
	openAt, sendAt = 1700 * time.Millisecond, 3200 * time.Millisecond
	// graceTime is graceS: the platform then sends SIGKILL.
	graceTime = 8 * time.Second
	// missesOut is the number of misses after which a process receives no new channels.
	missesOut = 2
	longID    = "long"
)

func main() { lab.Main(script) }

// balancer asks once a second whether the process is ready.
type balancer struct {
	misses atomic.Int32
}

// inRotation reports whether the process receives new channels.
func (b *balancer) inRotation() bool { return b.misses.Load() < missesOut }

// ask asks once.
func (b *balancer) ask(r *lab.Run, vm *lab.VM) {
	if vm.IsReady() {
		b.misses.Store(0)
		return
	}
	r.Note("balancer: %s is not ready, miss %d", vm.Name, b.misses.Add(1))
}

func script(r *lab.Run) (bool, error) {
	store, err := lab.StartStore()
	if err != nil {
		return false, err
	}
	route := lab.Route("r-appraisal", "/lohu930/", "streaming", "models", 2, int(timeout.Milliseconds()))
	route["targetLatencyMs"] = 5000
	store.PutDesired(lab.Desired(3, []any{route}, []any{lab.Engine("models", model)}))
	if err := startRunner(r, store); err != nil {
		return false, err
	}
	vm, err := r.StartVM("front-ee-north-a-1", "ee-north-a", store)
	if err != nil {
		return false, err
	}
	// The process learns how long the streams of the route take.
	for i := range 8 {
		if a := stream(r, vm, nil, fmt.Sprintf("short%02d", i)); a.Err != nil {
			return false, fmt.Errorf("a stream before the stop was not complete: %w", a.Err)
		}
	}
	b := &balancer{}
	b.ask(r, vm)
	go func() {
		for range time.Tick(time.Second) {
			b.ask(r, vm)
		}
	}()
	time.Sleep(50 * time.Millisecond)
	stop := time.Now()
	if r.Trouble {
		vm.Signal(syscall.SIGTERM)
		r.Note("%s gets SIGTERM", vm.Name)
		time.AfterFunc(graceTime, func() { vm.Signal(syscall.SIGKILL) })
	}
	time.Sleep(time.Until(stop.Add(openAt)))
	if !b.inRotation() {
		return false, fmt.Errorf("the process was out of rotation before the channels were opened")
	}
	cut := send(r, vm, stop)
	r.Say("%d streams sent %d ms after SIGTERM on the first use of their channels; %d channels closed without a complete answer before the deadline",
		consumers, sendAt.Milliseconds(), cut)
	return cut == 0, nil
}

// send opens the consumers' channels and sends a stream on each. It returns the number of
// channels that closed without a complete answer after the runner had begun to answer.
func send(r *lab.Run, vm *lab.VM, stop time.Time) int {
	var cut atomic.Int32
	var all sync.WaitGroup
	for i := range consumers {
		all.Go(func() {
			channel, err := lab.Open(vm)
			if err != nil {
				r.Note("consumer: %v", err)
				return
			}
			defer channel.Close()
			r.Note("consumer %d opens a channel", i)
			time.Sleep(time.Until(stop.Add(sendAt)))
			a := stream(r, vm, channel, fmt.Sprintf("%s%02d", longID, i))
			if a.Err != nil && len(a.Body) > 0 && a.Took < timeout-time.Second {
				cut.Add(1)
			}
		})
	}
	all.Wait()
	return int(cut.Load())
}

// stream sends one request, on a new channel if channel is nil, and returns the answer.
func stream(r *lab.Run, vm *lab.VM, channel *lab.Channel, id string) lab.Answer {
	if channel == nil {
		var err error
		if channel, err = lab.Open(vm); err != nil {
			return lab.Answer{Err: err}
		}
		defer channel.Close()
	}
	r.Note("consumer sends %s with Deadline-Ms %d", id, timeout.Milliseconds())
	a := channel.Send(lab.Request{
		Body: []byte("prompt"), Deadline: timeout, Host: lab.Host, ID: id, Method: http.MethodPost, Model: model, Target: "/lohu930/2f",
	})
	r.Note("consumer of %s gets %s", id, a)
	return a
}

// startRunner starts a sound runner.
func startRunner(r *lab.Run, store *lab.Store) error {
	models := map[string]any{"models": []any{map[string]any{"adapters": []string{}, "name": model, "version": 1}}}
	_, err := r.StartServer(store, "i-models-1", "models", "ee-north-a", 64, models, func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/report" {
			_, _ = w.Write([]byte(`{"stage":"both","models":[{"name":"daka510000","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0}`))
			return
		}
		id, events := q.Header.Get("Request-Id"), shortEvents
		if strings.HasPrefix(id, longID) {
			events = longEvents
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range events {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s part %d\n\n", i+1, id, i+1); err != nil || http.NewResponseController(w).Flush() != nil || q.Context().Err() != nil {
				r.Note("runner: the channel of %s is closed after event %d of %d", id, i+1, events)
				return
			}
			time.Sleep(eventGap)
		}
		r.Note("runner: %s is complete with %d events", id, events)
	})
	return err
}
