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
		withSite(t, func(s *site) {
			s.acquire(s.gate, 10, ordinary, false)
			s.wait(10 * buckthorndyke.Second)
			asserter.Equal(t, len(s.permits), 4)
			(<-s.permits).permit.Close()
			s.wait(buckthorndyke.Second)
			asserter.Equal(t, len(s.permits), 4)
		})
	})
	t.Run("at most four loads of models start per second", func(t *testing.T) {
		withSite(t, func(s *site) {
			s.acquire(s.gate, 40, ordinary, false)
			count := 0
			for end := s.clock.Now() + 4*buckthorndyke.Second; s.clock.Now() < end; s.wait(10) {
				for len(s.permits) > 0 {
					(<-s.permits).permit.Close()
					count++
				}
			}
			asserter.Equal(t, count, 16)
		})
	})
	t.Run("thirty adapters load concurrently in addition to the models", func(t *testing.T) {
		withSite(t, func(s *site) {
			s.acquire(s.gate, 4, ordinary, false)
			s.acquire(s.gate, 40, ordinary, true)
			s.wait(buckthorndyke.Second)
			asserter.Equal(t, len(s.permits), 34)
		})
	})
	t.Run("urgent requests are granted first", func(t *testing.T) {
		withSite(t, func(s *site) {
			s.acquire(s.gate, 4, ordinary, false)
			s.wait(buckthorndyke.Second)
			for _, rank := range []buckthorndyke.Rank{free, ordinary, urgent} {
				s.acquire(s.gate, 1, rank, false)
				s.wait(1)
			}
			var ranks []buckthorndyke.Rank
			for range 7 {
				p := <-s.permits
				ranks = append(ranks, p.rank)
				p.permit.Close()
				s.wait(buckthorndyke.Second)
			}
			asserter.Equal(t, ranks[4:], []buckthorndyke.Rank{urgent, ordinary, free})
		})
	})
	t.Run("a permit ends with its context", func(t *testing.T) {
		withSite(t, func(s *site) {
			ctx := s.ctx
			var cancel context.CancelFunc
			s.ctx, cancel = context.WithCancel(ctx)
			s.acquire(s.gate, 6, ordinary, false)
			s.wait(2 * buckthorndyke.Second)
			cancel()
			s.ctx = ctx
			s.wait(1)
			before := len(s.permits)
			s.acquire(s.gate, 4, ordinary, false)
			s.wait(2 * buckthorndyke.Second)
			asserter.Equal(t, len(s.permits)-before, 4)
		})
	})
	t.Run("waiting requests are refused when the gate stops", func(t *testing.T) {
		withSite(t, func(s *site) {
			failed := make(chan error, 5)
			for range 5 {
				go func() {
					_, err := s.gate.AcquireLoad(s.testCtx, buckthorndyke.LoadRequest{})
					if err != nil {
						failed <- err
					}
				}()
			}
			s.wait(2 * buckthorndyke.Second)
			s.cancel()
			asserter.Refused(t, <-failed, buckthorndyke.CodeServiceUnavailable, buckthorndyke.NotRun)
		})
	})
}

func TestClient(t *testing.T) {
	t.Run("the clients of all members share one gate", func(t *testing.T) {
		withSite(t, func(s *site) {
			for _, c := range s.clients("a", "b", "c") {
				s.acquire(c, 4, ordinary, false)
			}
			s.wait(5 * buckthorndyke.Second)
			asserter.Equal(t, len(s.permits), 4)
		})
	})
	t.Run("without the gate host each client uses its share of the limits", func(t *testing.T) {
		withSite(t, func(s *site) {
			clients := s.clients("a", "b")
			s.peers.fail = true
			for _, c := range clients {
				s.acquire(c, 8, ordinary, false)
			}
			s.wait(20 * buckthorndyke.Second)
			// The gate host itself still uses all of the limits.
			asserter.Equal(t, len(s.permits), 4+2)
		})
	})
	t.Run("a gate that does not respond is abandoned after a timeout", func(t *testing.T) {
		withSite(t, func(s *site) {
			clients := s.clients("a", "b")
			s.peers.hang = true
			for _, c := range clients {
				s.acquire(c, 1, ordinary, false)
			}
			s.wait(7 * buckthorndyke.Second)
			asserter.Equal(t, len(s.permits), 1)
			s.wait(2 * buckthorndyke.Second)
			asserter.Equal(t, len(s.permits), 2)
			for _, c := range clients {
				s.acquire(c, 1, ordinary, false)
			}
			s.wait(2 * buckthorndyke.Second)
			asserter.Equal(t, len(s.permits), 4)
		})
	})
	t.Run("a suspected gate host is not asked", func(t *testing.T) {
		withSite(t, func(s *site) {
			clients := s.clients("a", "b")
			s.peers.hang = true
			l := buckthorndyke.Liveness{}
			for _, vm := range []buckthorndyke.VMID{"a", "b"} {
				l = l.WithSuspect(vm, s.clock.Now(), nil)
			}
			asserter.NoError(t, s.liveness.Publish(s.ctx, l))
			s.wait(1)
			s.acquire(clients[0], 1, ordinary, false)
			s.acquire(clients[1], 1, ordinary, false)
			s.wait(1)
			asserter.Equal(t, len(s.permits), 2)
		})
	})
}

// site is a load gate in a synctest bubble.
type site struct {
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

func withSite(t *testing.T, test func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := timekeeper.NewRealClock()
		s := &site{
			cancel: cancel, clock: clock, ctx: ctx, gate: gatekeeper.New(clock),
			liveness: mailer.NewFeed[buckthorndyke.Liveness](), permits: make(chan grantedPermit, 100), testCtx: t.Context(),
		}
		standin.Start(ctx, s.gate, s.liveness)
		test(s)
	})
}

// acquire requests n permits from gate.
func (s *site) acquire(gate buckthorndyke.LoadGate, n int, rank buckthorndyke.Rank, adapter bool) {
	ctx := s.ctx
	for range n {
		go func() {
			p, err := gate.AcquireLoad(ctx, buckthorndyke.LoadRequest{Adapter: adapter, Rank: rank})
			if err == nil {
				s.permits <- grantedPermit{permit: p, rank: rank}
			}
		}()
	}
}

// clients returns one client per member. Each member has its own gate.
func (s *site) clients(vms ...buckthorndyke.VMID) []*gatekeeper.Client {
	var state buckthorndyke.State
	s.peers = &gatePeers{gates: make(map[string]*gatekeeper.Gatekeeper)}
	for _, vm := range vms {
		state = state.WithMember(buckthorndyke.Member{PeerAddress: string(vm), VM: vm})
		s.peers.gates[string(vm)] = gatekeeper.New(s.clock)
		standin.Start(s.ctx, s.peers.gates[string(vm)])
	}
	follower := fakeFollower{mailer.NewFeed[buckthorndyke.StateUpdate]()}
	standin.Start(s.ctx, follower)
	var clients []*gatekeeper.Client
	for _, vm := range vms {
		self := buckthorndyke.Self{VM: vm}
		c := gatekeeper.NewClient(self, follower, s.liveness, s.peers, s.peers.gates[string(vm)], s.clock)
		standin.Start(s.ctx, c)
		clients = append(clients, c)
	}
	_ = follower.Publish(s.ctx, buckthorndyke.StateUpdate{State: state})
	s.wait(1)
	return clients
}

func (s *site) wait(d buckthorndyke.Millis) {
	<-s.clock.After(d)
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
