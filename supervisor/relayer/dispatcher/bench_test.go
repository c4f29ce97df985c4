package dispatcher

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

// benchKey returns the key of a model.
func benchKey(model int) buckthorndyke.ModelKey {
	return buckthorndyke.ModelKey{Model: buckthorndyke.ModelID(fmt.Sprintf("model-%03d", model)), Service: "engines"}
}

// benchTask returns a task with runners that hold three of 300 models each and whose batches
// are full, and waiting requests.
func benchTask(b *testing.B, servers, waiting int) (*task, *fixedClock, func(model int) admissionRequested) {
	b.Helper()
	clock := &fixedClock{now: 1_000_000}
	d := New(nil, nil, nil, clock)
	work := newTask(b.Context(), d)
	var list buckthorndyke.Backends
	for n := range servers {
		r := buckthorndyke.Backend{ID: buckthorndyke.RunnerID(fmt.Sprintf("i-%04d", n)), Service: "engines", Slots: 16}
		for m := range 3 {
			r.LoadedModels = append(r.LoadedModels, buckthorndyke.LoadedModel{Model: benchKey((n*3 + m) % 300).Model})
		}
		list.Servers = list.Servers.With(r.ID, r)
	}
	work.view = work.view.WithBackends(list)
	for id := range list.Servers.All() {
		work.view = work.view.WithFull(id, clock.now, clock.now)
	}
	n := 0
	request := func(model int) admissionRequested {
		n++
		j := &job{Dispatcher: d, deadline: clock.now + 60_000, key: benchKey(model)}
		j.request = buckthorndyke.RelayRequest{Arrived: clock.now, PromptTokens: 646}
		j.route.LatencyTarget, j.route.Priority = 400, n%3
		j.fingerprints = []buckthorndyke.Fingerprint{buckthorndyke.Fingerprint(fmt.Sprint(n))}
		return admissionRequested{
			job: j, limits: newWaitLimits(j.route, clock.now, j.deadline), load: j.load(),
			query: selector.Query{Key: j.key, Seed: uint64(n)}, reply: mailer.NewReply[admission](),
		}
	}
	for i := range waiting {
		work.admit(request(i % 300))
	}
	return work, clock, request
}

// BenchmarkWaiting measures, while requests wait because all batches are full, an arrival, the
// end of a request at one server, and an offer to all.
func BenchmarkWaiting(b *testing.B) {
	for _, servers := range []int{56, 3000} {
		for _, waiting := range []int{10, 5000} {
			name := fmt.Sprintf("servers=%d/waiting=%d/", servers, waiting)
			b.Run(name+"arrival", func(b *testing.B) {
				work, _, request := benchTask(b, servers, waiting)
				for b.Loop() {
					m := request(1)
					work.admit(m)
					work.cancelAdmission(admissionCancelled{job: m.job, reply: mailer.NewReply[admission]()})
				}
			})
			b.Run(name+"end", func(b *testing.B) {
				work, _, _ := benchTask(b, servers, waiting)
				server, _ := work.view.List().Servers.Get("i-0000")
				for b.Loop() {
					work.endAttempt(attemptEnded{backend: server, key: benchKey(0), load: selector.Load{Requests: 1}, result: resultServed})
				}
			})
			b.Run(name+"offer", func(b *testing.B) {
				work, _, _ := benchTask(b, servers, waiting)
				for b.Loop() {
					work.offerAll()
				}
			})
		}
	}
}
