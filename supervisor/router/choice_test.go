package router_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestChoice(t *testing.T) {
	for _, best := range []string{"r1", "r2"} {
		run(t, "a cold model is requested from the runner that has it cached: "+best, func(t *testing.T, f *fixture) {
			f.statuses[best] = buckthorndyke.EngineStatus{
				Cached: map[buckthorndyke.ModelID]buckthorndyke.Tier{"m": buckthorndyke.TierDisk},
			}
			assertResponse(t, f.start(t), request, "abcd")
			asserter.Equal(t, string((<-f.ticketRequests).Runner), best)
		})
		run(t, "a load in progress is joined: "+best, func(t *testing.T, f *fixture) {
			f.statuses["r1"] = buckthorndyke.EngineStatus{
				Cached: map[buckthorndyke.ModelID]buckthorndyke.Tier{"m": buckthorndyke.TierMemory},
			}
			f.statuses[best] = buckthorndyke.EngineStatus{Residents: []buckthorndyke.Resident{{Loading: true, Model: "m"}}}
			assertResponse(t, f.start(t), request, "abcd")
			asserter.Equal(t, string((<-f.ticketRequests).Runner), best)
		})
		run(t, "the runner that reported the model as loaded is tried first: "+best, func(t *testing.T, f *fixture) {
			f.setIssuers(func(_ context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
				if string(r.Runner) != best {
					return nil, buckthorndyke.NewRefusal(buckthorndyke.CodeOverloaded, buckthorndyke.NotRun, "full")
				}
				event := granted(r.Runner)
				event.Report = buckthorndyke.RunnerReport{
					Residents: []buckthorndyke.ModelID{"m"}, Runner: r.Runner, Slots: 4,
				}
				return f.ticket(event), nil
			})
			r := f.start(t)
			assertResponse(t, r, request, "abcd")
			for len(f.ticketRequests) > 0 {
				<-f.ticketRequests
			}
			assertResponse(t, r, request, "abcd")
			assertCount(t, f.ticketRequests, 1)
		})
	}
	run(t, "concurrent requests for one cold model share a survey and a runner", func(t *testing.T, f *fixture) {
		r := f.start(t)
		for range 50 {
			go func() { _, _ = read(t.Context(), r, request) }()
		}
		synctest.Wait()
		assertCount(t, f.statusCalls, 2)
		first := <-f.ticketRequests
		for range 49 {
			asserter.Equal(t, (<-f.ticketRequests).Runner, first.Runner)
		}
	})
	run(t, "a long prompt is sent to the runner that served its prefix", func(t *testing.T, f *fixture) {
		f.statuses["r1"] = buckthorndyke.EngineStatus{Residents: []buckthorndyke.Resident{{Model: "m"}}}
		f.statuses["r2"] = f.statuses["r1"]
		r, req := f.start(t), request
		req.Prompt = strings.Repeat("long ", 100)
		assertResponse(t, r, req, "abcd")
		first := <-f.ticketRequests
		for _, id := range []buckthorndyke.RequestID{"x", "y", "z", "u", "v"} {
			req.ID = id
			assertResponse(t, r, req, "abcd")
			asserter.Equal(t, (<-f.ticketRequests).Runner, first.Runner)
		}
	})
}
