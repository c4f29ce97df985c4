// Command burst lets many consumers upload at once, each within the limits of the desired
// state, and ends a process that exceeds its machine's memory, as the platform does.
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
	machines = 3
	// memoryMb is the memory of a machine.
	memoryMb = 284
	// usual is the number of consumers that upload to a machine at once; burst is that
	// number at 2.5 times the traffic.
	usual, burst = 10, 25
	// linkRate is the rate of all uploads to a machine in bytes a second; its link carries
	// 125,000,000.
	linkRate = 100e6
	rounds   = 4
	// pause is the time between two rounds.
	pause = 8 * time.Second
	// restartTime is the time after which the platform starts a process again.
	restartTime = 500 * time.Millisecond
	// endsLimit and machinesLimit are the ends of processes that break the rule.
	endsLimit, machinesLimit = 3, 2
)

func main() { lab.Main(script) }

// guard is the platform's watch over the memory of a machine.
type guard struct {
	mu   sync.Mutex
	ends int
	peak float64
}

func (g *guard) watch(r *lab.Run, v *lab.VM) {
	for ; ; time.Sleep(5 * time.Millisecond) {
		used := v.ResidentMB()
		g.mu.Lock()
		g.peak = max(g.peak, used)
		g.mu.Unlock()
		if used <= memoryMb {
			continue
		}
		r.Note("the process of %s uses %.0f MB of %d MB: the platform kills it", v.Name, used, memoryMb)
		v.Signal(syscall.SIGKILL)
		<-v.Ended()
		g.mu.Lock()
		g.ends++
		g.mu.Unlock()
		time.Sleep(restartTime)
		if err := v.Start(); err != nil {
			r.Note("%s does not start: %v", v.Name, err)
			return
		}
		r.Note("%s starts again as process %d", v.Name, v.PID())
	}
}

func script(r *lab.Run) (bool, error) {
	store, err := lab.StartStore()
	if err != nil {
		return false, err
	}
	store.PutDesired(lab.Desired(3, []any{lab.Route("r-payout", "/payout/", "unsafe", "ledger", 1, 3000)}, []any{lab.Service("ledger")}))
	r.Note("desired state 3: bodyBytes %d; /payout/ is unsafe, service ledger", lab.BodyBytes)
	for i := range 6 {
		_, err := r.StartServer(store, fmt.Sprintf("i-ledger-%d", i+1), "ledger", "ee-north-a", 6, nil, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(60 * time.Millisecond)
			_, _ = w.Write([]byte("done"))
		})
		if err != nil {
			return false, err
		}
	}
	var vms []*lab.VM
	var guards []*guard
	for i := range machines {
		v, err := r.StartVM(fmt.Sprintf("front-ee-north-a-%d", i+1), "ee-north-a", store)
		if err != nil {
			return false, err
		}
		g := &guard{}
		go g.watch(r, v)
		vms, guards = append(vms, v), append(guards, g)
	}
	time.Sleep(3 * time.Second)
	consumers := usual
	if r.Trouble {
		consumers = burst
	}
	body := make([]byte, lab.BodyBytes)
	var mu sync.Mutex
	lost, served := 0, 0
	for round := range rounds {
		r.Note("round %d: %d consumers send %d bytes each to each machine", round+1, consumers, len(body))
		var all sync.WaitGroup
		for m, v := range vms {
			for c := range consumers {
				all.Go(func() {
					id := fmt.Sprintf("5a%02d%02d%03d", round, m, c)
					channel, err := lab.Open(v)
					if err != nil {
						r.Note("consumer of %s: %v", id, err)
						return
					}
					defer channel.Close()
					a := channel.Send(lab.Request{
						Body: body, Deadline: 5 * time.Second, Host: lab.Host, ID: id, Method: http.MethodPost,
						Rate: linkRate / float64(consumers), Target: "/payout/2f",
					})
					r.Note("consumer of %s at %s gets %s", id, v.Name, a)
					mu.Lock()
					defer mu.Unlock()
					if a.Err != nil {
						lost++
					} else if a.Status == http.StatusOK {
						served++
					}
				})
			}
		}
		all.Wait()
		time.Sleep(pause)
	}
	bad := 0
	for i, g := range guards {
		g.mu.Lock()
		r.Say("%s: its process ended %d times, at most %.0f MB of %d MB", vms[i].Name, g.ends, g.peak, memoryMb)
		if g.ends >= endsLimit {
			bad++
		}
		g.mu.Unlock()
	}
	r.Say("%d requests served, %d without an answer; %d of %d machines with %d ends or more", served, lost, bad, machines, endsLimit)
	return bad < machinesLimit, nil
}
