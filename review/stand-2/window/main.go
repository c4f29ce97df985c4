// Command window lets runners with small receive windows answer resumable streams before they
// have read a body of less than 16 KiB, and read on later.
package main

import (
	"fmt"
	"net/http"
	"review/lab"
	"sync"
	"time"
)

const (
	streams = 6
	// bodyBytes is the length of a request. Those of basin-digest have 9,200 in the mean and
	// 55,000 at most.
	bodyBytes = 16_000
	// timeout is the route's time-out and the consumers' deadline, as of basin-digest.
	timeout = 4 * time.Second
	// window is the size of a runner's receive buffer in bytes, and late how long after the
	// head of its answer a runner reads on.
	window = 4 << 10
	late   = 3 * time.Second
	// overlap is how long two runners may work on a request at a time.
	overlap = 400 * time.Millisecond
	model   = "daka510000"
)

func main() { lab.Main(script) }

func script(r *lab.Run) (bool, error) {
	store, err := lab.StartStore()
	if err != nil {
		return false, err
	}
	route := lab.Route("r-digest", "/pufi791/", "streaming", "models", 2, int(timeout.Milliseconds()))
	route["resumable"], route["targetLatencyMs"] = true, 2000
	store.PutDesired(lab.Desired(3, []any{route}, []any{lab.Engine("models", model)}))
	r.Note("desired state 3: timeoutMs %d, resumable, maxAttempts 2", timeout.Milliseconds())
	var runners []*lab.EarlyRunner
	for i := range 2 {
		// The run is preempted for 2.9 s after its first event.
		n := &lab.EarlyRunner{
			Events: 8, Gaps: []time.Duration{300 * time.Millisecond, 2900 * time.Millisecond, 50 * time.Millisecond},
			ID: fmt.Sprintf("i-models-%d", i+1), Window: window,
		}
		if r.Trouble {
			n.Late = late
		}
		if err := n.Start(r, store, "models", model); err != nil {
			return false, err
		}
		runners = append(runners, n)
	}
	vm, err := r.StartVM("front-ee-north-a-1", "ee-north-a", store)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	body := make([]byte, bodyBytes)
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() {
			channel, err := lab.Open(vm)
			if err != nil {
				r.Note("consumer: %v", err)
				return
			}
			defer channel.Close()
			q := lab.Request{
				Body: body, Deadline: timeout, Host: lab.Host, ID: fmt.Sprintf("72%02d", i), Method: http.MethodPost,
				Model: model, Target: "/pufi791/2f",
			}
			r.Note("consumer sends %s: %d bytes, Deadline-Ms %d", q.ID, len(q.Body), q.Deadline.Milliseconds())
			r.Note("consumer of %s gets %s", q.ID, channel.Send(q))
		})
	}
	all.Wait()
	// The runners may still be at work.
	time.Sleep(5 * time.Second)
	twice := 0
	first, second := runners[0].Work(), runners[1].Work()
	for id, a := range first {
		b, ok := second[id]
		if !ok {
			continue
		}
		if b.Began.Before(a.Began) {
			a, b = b, a
		}
		if both := a.Ended.Sub(b.Began); both > overlap {
			r.Note("%s: the runner before worked on for %d ms after the next one had begun", id, both.Milliseconds())
			twice++
		}
	}
	r.Say("%d streams; %d at work at two runners for over %d ms", streams, twice, overlap.Milliseconds())
	return twice == 0, nil
}
