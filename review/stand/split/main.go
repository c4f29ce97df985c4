// Command split sends requests whose path holds an encoded slash, before and after the
// operator has split a route.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"review/lab"
)

const requests = 40

func main() { lab.Main(script) }

func script(r *lab.Run) (bool, error) {
	store, err := lab.StartStore()
	if err != nil {
		return false, err
	}
	services := []any{lab.Service("ledger"), lab.Service("catalogue")}
	first := lab.Route("r-lots", "/lots/", "unsafe", "ledger", 1, 1500)
	store.PutDesired(lab.Desired(3, []any{first}, services))
	r.Note("desired state 3: /lots/ is unsafe, maxAttempts 1, service ledger")
	var calls atomic.Int64
	// One run in seven fails, as on the deployments' safe routes.
	run := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		if calls.Add(1)%7 == 0 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = w.Write([]byte("done"))
	}
	var servers []*lab.Server
	for i := range 4 {
		service := []string{"ledger", "catalogue"}[i/2]
		s, err := r.StartServer(store, fmt.Sprintf("i-%s-%d", service, i%2+1), service, "ee-north-a", 6, nil, run)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	vm, err := r.StartVM("front-ee-north-a-1", "ee-north-a", store)
	if err != nil {
		return false, err
	}
	if r.Trouble {
		second := lab.Route("r-sets", "/lots/set/", "safe", "catalogue", 2, 1500)
		store.PutDesired(lab.Desired(7, []any{first, second}, services))
		r.Note("desired state 7: adds /lots/set/, which is safe, maxAttempts 2, service catalogue")
	}
	// applyMs is 2,000; the sleep is longer.
	time.Sleep(4 * time.Second)
	channel, err := lab.Open(vm)
	if err != nil {
		return false, err
	}
	defer channel.Close()
	for i := range requests {
		q := lab.Request{
			Body: []byte("reserve"), Deadline: 3 * time.Second, Host: lab.Host, ID: fmt.Sprintf("9c41d07be2a3%04d", i), Method: http.MethodPost,
			Target: fmt.Sprintf("/lots/set%%2F%d", 10000+i),
		}
		r.Note("consumer sends %s: POST %s", q.ID, q.Target)
		a := channel.Send(q)
		r.Note("consumer gets for %s: %s", q.ID, a)
		if a.Err != nil {
			return false, a.Err
		}
	}
	wrong, times := 0, make(map[string]int)
	for _, s := range servers {
		for _, e := range s.Runs() {
			times[e.ID]++
			// The path begins with /lots/ and not with /lots/set/.
			if strings.HasPrefix(e.Target, "/lots/") && !strings.HasPrefix(e.Target, "/lots/set/") && e.Service != "ledger" {
				wrong++
			}
		}
	}
	twice := 0
	for _, n := range times {
		if n > 1 {
			twice++
		}
	}
	r.Say("%d requests; ROUTE: %d runs by a service to which no desired state lets them go; TWICE: %d requests ran more than once", requests, wrong, twice)
	return wrong == 0 && twice == 0, nil
}
