package gatekeeper_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor/gatekeeper"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const urgent, ordinary, free = buckthorndyke.RankUrgent, buckthorndyke.RankOrdinary, buckthorndyke.RankFree

func TestGatekeeper(t *testing.T) {
	t.Run("at most four models load concurrently", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.acquire(f.gate, 10, ordinary, false)
			f.wait(10 * buckthorndyke.Second)
			asserter.Equal(t, len(f.permits), 4)
			(<-f.permits).permit.Close()
			f.wait(buckthorndyke.Second)
			asserter.Equal(t, len(f.permits), 4)
		})
	})
	t.Run("at most four loads of models start per second", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.acquire(f.gate, 40, ordinary, false)
			count := 0
			for end := f.clock.Now() + 4*buckthorndyke.Second; f.clock.Now() < end; f.wait(10) {
				for len(f.permits) > 0 {
					(<-f.permits).permit.Close()
					count++
				}
			}
			asserter.Equal(t, count, 16)
		})
	})
	t.Run("thirty adapters load concurrently in addition to the models", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.acquire(f.gate, 4, ordinary, false)
			f.acquire(f.gate, 40, ordinary, true)
			f.wait(buckthorndyke.Second)
			asserter.Equal(t, len(f.permits), 34)
		})
	})
	t.Run("urgent requests are granted first", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.acquire(f.gate, 4, ordinary, false)
			f.wait(buckthorndyke.Second)
			for _, rank := range []buckthorndyke.Rank{free, ordinary, urgent} {
				f.acquire(f.gate, 1, rank, false)
				f.wait(1)
			}
			var ranks []buckthorndyke.Rank
			for range 7 {
				p := <-f.permits
				ranks = append(ranks, p.rank)
				p.permit.Close()
				f.wait(buckthorndyke.Second)
			}
			asserter.Equal(t, ranks[4:], []buckthorndyke.Rank{urgent, ordinary, free})
		})
	})
	t.Run("a permit ends with its context", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			ctx := f.ctx
			var cancel context.CancelFunc
			f.ctx, cancel = context.WithCancel(ctx)
			f.acquire(f.gate, 6, ordinary, false)
			f.wait(2 * buckthorndyke.Second)
			cancel()
			f.ctx = ctx
			f.wait(1)
			before := len(f.permits)
			f.acquire(f.gate, 4, ordinary, false)
			f.wait(2 * buckthorndyke.Second)
			asserter.Equal(t, len(f.permits)-before, 4)
		})
	})
	t.Run("waiting requests are refused when the gate stops", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			failed := make(chan error, 5)
			for range 5 {
				go func() {
					_, err := f.gate.AcquireLoad(f.testCtx, buckthorndyke.LoadRequest{})
					if err != nil {
						failed <- err
					}
				}()
			}
			f.wait(2 * buckthorndyke.Second)
			f.cancel()
			asserter.Refused(t, <-failed, buckthorndyke.CodeServiceUnavailable, buckthorndyke.NotRun)
		})
	})
}

func TestClient(t *testing.T) {
	t.Run("the clients of all members share one gate", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			for _, c := range f.clients("a", "b", "c") {
				f.acquire(c, 4, ordinary, false)
			}
			f.wait(5 * buckthorndyke.Second)
			asserter.Equal(t, len(f.permits), 4)
		})
	})
	t.Run("without the gate host each client uses its share of the limits", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			clients := f.clients("a", "b")
			f.peers.fail = true
			for _, c := range clients {
				f.acquire(c, 8, ordinary, false)
			}
			f.wait(20 * buckthorndyke.Second)
			// The gate host itself still uses all of the limits.
			asserter.Equal(t, len(f.permits), 4+2)
		})
	})
	t.Run("a gate that does not respond is abandoned after a timeout", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			clients := f.clients("a", "b")
			f.peers.hang = true
			for _, c := range clients {
				f.acquire(c, 1, ordinary, false)
			}
			f.wait(7 * buckthorndyke.Second)
			asserter.Equal(t, len(f.permits), 1)
			f.wait(2 * buckthorndyke.Second)
			asserter.Equal(t, len(f.permits), 2)
			for _, c := range clients {
				f.acquire(c, 1, ordinary, false)
			}
			f.wait(2 * buckthorndyke.Second)
			asserter.Equal(t, len(f.permits), 4)
		})
	})
	t.Run("a suspected gate host is not asked", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			clients := f.clients("a", "b")
			f.peers.hang = true
			l := buckthorndyke.Liveness{}
			for _, vm := range []buckthorndyke.VMID{"a", "b"} {
				l = l.WithSuspect(vm, f.clock.Now(), nil)
			}
			asserter.NoError(t, f.liveness.Publish(f.ctx, l))
			f.wait(1)
			f.acquire(clients[0], 1, ordinary, false)
			f.acquire(clients[1], 1, ordinary, false)
			f.wait(1)
			asserter.Equal(t, len(f.permits), 2)
		})
	})
}

// fixture is a load gate in a synctest bubble.
type fixture struct {
	cancel   context.CancelFunc
	clock    buckthorndyke.Clock
	ctx      context.Context
	gate     *gatekeeper.Gatekeeper
	liveness *mailer.Feed[buckthorndyke.Liveness]
	peers    *gatePeers
	permits  chan grantedPermit
	// testCtx is the context of the test, which ends after the gate.
	testCtx context.Context
}

// grantedPermit is a permit with the rank of its request.
type grantedPermit struct {
	permit buckthorndyke.LoadPermit
	rank   buckthorndyke.Rank
}

func withFixture(t *testing.T, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := timekeeper.NewRealClock()
		f := &fixture{
			cancel: cancel, clock: clock, ctx: ctx, gate: gatekeeper.New(clock),
			liveness: mailer.NewFeed[buckthorndyke.Liveness](), permits: make(chan grantedPermit, 100), testCtx: t.Context(),
		}
		standin.Start(ctx, f.gate, f.liveness)
		test(f)
	})
}

// acquire requests n permits from gate.
func (f *fixture) acquire(gate buckthorndyke.LoadGate, n int, rank buckthorndyke.Rank, adapter bool) {
	ctx := f.ctx
	for range n {
		go func() {
			p, err := gate.AcquireLoad(ctx, buckthorndyke.LoadRequest{Adapter: adapter, Rank: rank})
			if err == nil {
				f.permits <- grantedPermit{permit: p, rank: rank}
			}
		}()
	}
}

// clients returns one client per member. Each member has its own gate.
func (f *fixture) clients(vms ...buckthorndyke.VMID) []*gatekeeper.Client {
	var state buckthorndyke.State
	f.peers = &gatePeers{gates: make(map[string]*gatekeeper.Gatekeeper)}
	for _, vm := range vms {
		state = state.WithMember(buckthorndyke.Member{PeerAddress: string(vm), VM: vm})
		f.peers.gates[string(vm)] = gatekeeper.New(f.clock)
		standin.Start(f.ctx, f.peers.gates[string(vm)])
	}
	follower := fakeFollower{mailer.NewFeed[buckthorndyke.StateUpdate]()}
	standin.Start(f.ctx, follower)
	var clients []*gatekeeper.Client
	for _, vm := range vms {
		self := buckthorndyke.Self{VM: vm}
		c := gatekeeper.NewClient(self, follower, f.liveness, f.peers, f.peers.gates[string(vm)], f.clock)
		standin.Start(f.ctx, c)
		clients = append(clients, c)
	}
	_ = follower.Publish(f.ctx, buckthorndyke.StateUpdate{State: state})
	f.wait(1)
	return clients
}

func (f *fixture) wait(d buckthorndyke.Millis) {
	<-f.clock.After(d)
	synctest.Wait()
}

// fakeFollower implements buckthorndyke.Follower with a feed.
type fakeFollower struct {
	*mailer.Feed[buckthorndyke.StateUpdate]
}

// gatePeers returns peers that serve the gates of members. Their calls fail if fail is
// set, and hang if hang is set.
type gatePeers struct {
	fail, hang bool
	gates      map[string]*gatekeeper.Gatekeeper
}

func (p *gatePeers) At(address string) buckthorndyke.Peer {
	return gatePeer{gate: p.gates[address], peers: p}
}

type gatePeer struct {
	buckthorndyke.Peer
	gate  *gatekeeper.Gatekeeper
	peers *gatePeers
}

func (p gatePeer) AcquireLoad(ctx context.Context, r buckthorndyke.LoadRequest) (buckthorndyke.LoadPermit, error) {
	if p.peers.hang {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if p.peers.fail {
		return nil, context.DeadlineExceeded
	}
	return p.gate.AcquireLoad(ctx, r)
}
