// Command longer raises the time-out of a route and sends streams that take longer than
// 30 s, but less than the new time-out, just after the process has got SIGHUP.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"review/lab"
)

const (
	streams = 6
	// shortTimeout and longTimeout are the route's time-outs before and after the change.
	shortTimeout, longTimeout = 25 * time.Second, 60 * time.Second
	// events and gap make a stream that lasts 38 s.
	events = 95
	gap    = 400 * time.Millisecond
	// slack is how long before a limit a stream may end.
	slack = 500 * time.Millisecond
	model = "daka510000"
)

func main() { lab.Main(script) }

func desired(version int, timeout time.Duration) map[string]any {
	route := lab.Route("r-appraisal", "/lohu930/", "streaming", "models", 1, int(timeout.Milliseconds()))
	return lab.Desired(version, []any{route}, []any{lab.Engine("models", model)})
}

func script(r *lab.Run) (bool, error) {
	store, err := lab.StartStore()
	if err != nil {
		return false, err
	}
	store.PutDesired(desired(3, shortTimeout))
	r.Note("desired state 3: timeoutMs %d", shortTimeout.Milliseconds())
	models := map[string]any{"models": []any{map[string]any{"adapters": []string{}, "name": model, "version": 1}}}
	_, err = r.StartServer(store, "i-models-1", "models", "ee-north-a", 64, models, func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/report" {
			_, _ = w.Write([]byte(`{"stage":"both","models":[{"name":"daka510000","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0}`))
			return
		}
		id := q.Header.Get("Request-Id")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range events {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s part %d\n\n", i+1, id, i+1); err != nil || http.NewResponseController(w).Flush() != nil || q.Context().Err() != nil {
				r.Note("server: the channel of %s is closed after event %d", id, i+1)
				return
			}
			time.Sleep(gap)
		}
		r.Note("server: %s is complete with %d events", id, events)
	})
	if err != nil {
		return false, err
	}
	vm, err := r.StartVM("front-ee-north-a-1", "ee-north-a", store)
	if err != nil {
		return false, err
	}
	timeout := shortTimeout
	if r.Trouble {
		timeout = longTimeout
		store.PutDesired(desired(7, timeout))
		r.Note("desired state 7: timeoutMs %d", timeout.Milliseconds())
	}
	time.Sleep(4 * time.Second)
	vm.Signal(syscall.SIGHUP)
	r.Note("%s gets SIGHUP", vm.Name)
	cut := 0
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() {
			channel, err := lab.Open(vm)
			if err != nil {
				r.Note("consumer: %v", err)
				return
			}
			defer channel.Close()
			// The channel is a kept one: it has carried a request before.
			before := channel.Send(lab.Request{Deadline: 5 * time.Second, Host: lab.Host, ID: fmt.Sprintf("70%02d", i), Method: http.MethodGet, Target: "/none/"})
			r.Note("consumer of 70%02d gets %s", i, before)
			q := lab.Request{
				Body: []byte("prompt"), Deadline: longTimeout, Host: lab.Host, ID: fmt.Sprintf("71%02d", i), Method: http.MethodPost,
				Model: model, Target: "/lohu930/2f",
			}
			r.Note("consumer sends %s with Deadline-Ms %d", q.ID, q.Deadline.Milliseconds())
			a := channel.Send(q)
			r.Note("consumer of %s gets %s", q.ID, a)
			mu.Lock()
			defer mu.Unlock()
			if a.Err != nil && a.Took < min(timeout, q.Deadline)-slack {
				cut++
			}
		})
	}
	all.Wait()
	r.Say("%d streams; %d channels closed without a complete answer before the time-out of %d ms and the deadline", streams, cut, timeout.Milliseconds())
	return cut == 0, nil
}
