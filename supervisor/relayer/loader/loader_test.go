package loader_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/loader"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const (
	engines = buckthorndyke.ServiceID("engines")
	hall    = buckthorndyke.ModelID("hall")
	lease   = 3 * buckthorndyke.Second
	self    = buckthorndyke.VMID("vm-1")
)

var hallKey = buckthorndyke.ModelKey{Model: hall, Service: engines}

func TestLeading(t *testing.T) {
	t.Run("a VM that does not lead gives no order", func(t *testing.T) {
		inSite(t, func(s *site) {
			reply := s.want(hallKey)
			asserter.True(t, !reply.Leading, "the VM says that it leads")
			s.wait(5 * buckthorndyke.Second)
			asserter.Equal(t, len(s.pool.sent()), 0)
		})
	})
	t.Run("a leader without a known predecessor waits for the lease", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.lead(7)
			s.wait(lease - 400)
			s.want(hallKey)
			asserter.Equal(t, len(s.pool.sent()), 0)
			s.wait(400)
			s.want(hallKey)
			asserter.Equal(t, s.pool.sent()[0].FencingToken, int64(7))
		})
	})
	t.Run("a first leader does not wait where fences are checked", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.lead(7)
			s.want(hallKey)
			asserter.Equal(t, len(s.pool.sent()), 1)
		}, loader.WithFencingTokenChecks(true))
	})
	t.Run("a leader that has not ordered yet says when the leader before has", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.leaders.said = buckthorndyke.YieldReply{GrantValid: true, SinceLastOrder: 500}
			s.succeed(7)
			s.wait(buckthorndyke.Second)
			said, err := s.loader.Yield(s.ctx, 8)
			asserter.NoError(t, err)
			asserter.Equal(t, said.SinceLastOrder, 1500*buckthorndyke.Millisecond)
		}, loader.WithFencingTokenChecks(true))
	})
	t.Run("a leader waits from its predecessor's last order", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.leaders.said = buckthorndyke.YieldReply{GrantValid: true, SinceLastOrder: lease - buckthorndyke.Second}
			s.succeed(7)
			s.wait(300)
			s.want(hallKey)
			asserter.Equal(t, len(s.pool.sent()), 0)
			s.wait(600)
			s.want(hallKey)
			asserter.Equal(t, len(s.pool.sent()), 1)
		})
	})
	t.Run("a predecessor out of contact is not waited for where fences are checked", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.leaders.err = errors.New("no answer")
			s.succeed(7)
			s.wait(200)
			s.want(hallKey)
			asserter.Equal(t, len(s.pool.sent()), 1)
		}, loader.WithFencingTokenChecks(true))
	})
	t.Run("a predecessor that the platform does not renew is not waited for where fences are checked", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.leaders.said = buckthorndyke.YieldReply{SinceLastOrder: 10}
			s.succeed(7)
			s.wait(200)
			s.want(hallKey)
			asserter.Equal(t, len(s.pool.sent()), 1)
		}, loader.WithFencingTokenChecks(true))
	})
	t.Run("a VM whose grant has ended says that it is out of contact", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.leadFor(7, buckthorndyke.Second)
			s.wait(2 * buckthorndyke.Second)
			said, err := s.loader.Yield(s.ctx, 8)
			asserter.NoError(t, err)
			asserter.True(t, !said.GrantValid, "the VM says that it is in contact")
		})
	})
	t.Run("a predecessor out of contact is waited for where fences are ignored", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.leaders.err = errors.New("no answer")
			s.succeed(7)
			s.wait(lease - 400)
			s.want(hallKey)
			asserter.Equal(t, len(s.pool.sent()), 0)
		})
	})
	t.Run("a leader whose grant ends gives no order", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.leadFor(7, lease+buckthorndyke.Second)
			s.wait(lease + 900)
			s.want(hallKey)
			asserter.Equal(t, len(s.pool.sent()), 0)
		})
	})
	t.Run("a leader whose grant cannot be renewed goes on where fences are checked", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.leadFor(7, lease+buckthorndyke.Second)
			s.wait(lease + 5*buckthorndyke.Second)
			s.want(hallKey)
			asserter.Equal(t, len(s.pool.sent()), 1)
			_, err := s.loader.Yield(s.ctx, 8)
			asserter.NoError(t, err)
			s.wait(2 * buckthorndyke.Second)
			asserter.True(t, !s.want(hallKey).Leading, "the VM says that it leads")
			asserter.Equal(t, len(s.pool.sent()), 1)
		}, loader.WithFencingTokenChecks(true))
	})
	t.Run("a leader that was fenced gives no more orders", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.pool.outcome = buckthorndyke.ModelOrderFenced
			s.lead(7)
			s.wait(lease + 100)
			s.want(hallKey)
			s.wait(buckthorndyke.Second)
			reply := s.want(hallKey)
			asserter.True(t, !reply.Leading, "the VM says that it leads")
			asserter.Equal(t, len(s.pool.sent()), 1)
		})
	})
	t.Run("a leader yields to a higher fencing number and says when it last ordered", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.lead(7)
			s.wait(lease + 100)
			s.want(hallKey)
			s.wait(400)
			said, err := s.loader.Yield(s.ctx, 8)
			asserter.NoError(t, err)
			asserter.True(t, said.GrantValid, "the VM says that it is out of contact")
			asserter.True(t, said.SinceLastOrder >= 400 && said.SinceLastOrder < buckthorndyke.Second, "the time since the last order is wrong")
			asserter.True(t, !s.want(hallKey).Leading, "the VM says that it leads")
		})
	})
}

func TestSuccession(t *testing.T) {
	t.Run("a new leader asks each VM once for all recent arrivals", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.lead(7)
			s.wait(lease + 100)
			asserter.True(t, s.report(hallKey).WantRecentArrivals, "a new leader does not ask")
			asserter.True(t, !s.report(hallKey).WantRecentArrivals, "a leader asks again")
			s.lead(8)
			asserter.True(t, s.report(hallKey).WantRecentArrivals, "a leader of a new term does not ask")
		})
	})
	t.Run("a leader tells when a model is expected", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.lead(7)
			s.wait(lease + 100)
			s.want(hallKey)
			s.wait(buckthorndyke.Second)
			expected := s.want(hallKey).LoadEstimates
			asserter.Equal(t, len(expected), 1)
			asserter.Equal(t, expected[0].Key, hallKey)
			asserter.True(t, expected[0].ReadyIn > 500 && expected[0].ReadyIn < buckthorndyke.Second, "the time is wrong")
		})
	})
}

func TestWord(t *testing.T) {
	evidence := func(s *site, vm buckthorndyke.VMID, failed, served int) buckthorndyke.DemandReply {
		reply, err := s.loader.Report(s.ctx, vm, buckthorndyke.DemandReport{
			Attempts: []buckthorndyke.AttemptCounts{{Failed: failed, Served: served, Server: "r"}},
		})
		asserter.NoError(t, err)
		return reply
	}
	t.Run("a server that fails the requests of several VMs is told to all", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.alsoList("r2")
			s.lead(7)
			asserter.Equal(t, len(evidence(s, "vm-2", 1, 0).Suspects), 0)
			asserter.Equal(t, len(evidence(s, "vm-3", 1, 0).Suspects), 0)
			asserter.Equal(t, evidence(s, "vm-4", 1, 0).Suspects, []buckthorndyke.RunnerID{"r"})
			asserter.Equal(t, evidence(s, "vm-5", 0, 0).Suspects, []buckthorndyke.RunnerID{"r"})
		})
	})
	t.Run("a leader that cannot renew its grant asks some VMs to take part in the election", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.leadFor(7, buckthorndyke.Second)
			asserter.True(t, !evidence(s, "vm-2", 0, 0).ShouldCampaign, "a leader with a grant asks")
			s.wait(2 * buckthorndyke.Second)
			asked := 0
			for range 2 {
				asked = 0
				for n := range 20 {
					if evidence(s, buckthorndyke.VMID("vm-"+string(rune('a'+n))), 0, 0).ShouldCampaign {
						asked++
					}
				}
			}
			asserter.Equal(t, asked, 6)
		}, loader.WithFencingTokenChecks(true))
	})
	t.Run("a leader goes on from what the one before has learnt of the weight store", func(t *testing.T) {
		inSite(t, func(s *site) {
			asserter.NoError(t, s.feeds.FullSpeedLoads.Publish(s.ctx, 7))
			synctest.Wait()
			s.lead(7)
			asserter.Equal(t, evidence(s, "vm-2", 0, 0).FullSpeedLoads, 7)
			asserter.NoError(t, s.feeds.FullSpeedLoads.Publish(s.ctx, 3))
			synctest.Wait()
			asserter.Equal(t, evidence(s, "vm-2", 0, 0).FullSpeedLoads, 7)
		})
	})
	t.Run("a VM that waits for what a runner holds is told so", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.pool.holdings = []buckthorndyke.LoadedModel{{Model: hall}}
			s.lead(7)
			s.wait(lease + 6*buckthorndyke.Second)
			s.report(hallKey)
			s.wait(5 * buckthorndyke.Second)
			asserter.Equal(t, s.report(hallKey).RunnerModels[0].Runner, "r")
		})
	})
}

func TestAdapters(t *testing.T) {
	key := func(adapter string) buckthorndyke.ModelKey {
		return buckthorndyke.ModelKey{Adapter: adapter, Model: hall, Service: engines}
	}
	t.Run("an adapter that is still in use keeps its slot", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.pool.holdings = []buckthorndyke.LoadedModel{{Adapters: []string{"a1", "a2"}, Model: hall}}
			s.lead(7)
			s.wait(lease + 500)
			s.want(key("a3"))
			asserter.Equal(t, s.pool.sent()[0].Kind, buckthorndyke.OrderUnload)
			// The runner unloads it only once its requests have ended.
			s.wait(buckthorndyke.Second)
			s.want(key("a3"))
			asserter.Equal(t, len(s.pool.sent()), 1)
		})
	})
	t.Run("a loaded adapter is told before the runner's report shows it", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.pool.holdings = []buckthorndyke.LoadedModel{{Model: hall}}
			s.lead(7)
			s.wait(lease + 500)
			reply := s.want(key("a3"))
			asserter.Equal(t, len(reply.RunnerModels), 1)
			asserter.True(t, reply.RunnerModels[0].LoadedModels[0].HasAdapter("a3"), "the adapter is not told")
		})
	})
}

// site is a loader in a bubble, with one runner.
type site struct {
	cancel  context.CancelFunc
	clock   buckthorndyke.Clock
	ctx     context.Context
	feeds   loader.Feeds
	leaders *leaders
	loader  *loader.Loader
	pool    *pool
	t       *testing.T
}

// inSite runs test with a loader that knows a configuration and a runner.
func inSite(t *testing.T, test func(s *site), opts ...loader.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &site{
			cancel: cancel, clock: timekeeper.NewRealClock(), ctx: ctx,
			feeds: loader.Feeds{
				FullSpeedLoads: mailer.NewFeed[int](),
				Lists:          mailer.NewFeed[buckthorndyke.Backends](),
				Routings:       mailer.NewFeed[buckthorndyke.Routing](), SeenList: mailer.NewFeed[buckthorndyke.SeenVersion](),
				SeenRouting: mailer.NewFeed[buckthorndyke.SeenVersion](), Terms: mailer.NewFeed[buckthorndyke.Term](),
			},
			leaders: &leaders{}, pool: newPool(ctx), t: t,
		}
		s.loader = loader.New(buckthorndyke.Self{PeerAddress: "10.0.0.1:1", VM: self}, s.pool, s.leaders, s.feeds, lease, s.clock, opts...)
		for _, serve := range []func(context.Context) error{
			s.feeds.FullSpeedLoads.Serve, s.feeds.Lists.Serve, s.feeds.Routings.Serve, s.feeds.SeenList.Serve, s.feeds.SeenRouting.Serve, s.feeds.Terms.Serve, s.pool.serve, s.loader.Serve,
		} {
			go func() { _ = serve(ctx) }()
		}
		asserter.NoError(t, s.feeds.Routings.Publish(ctx, routing()))
		var list buckthorndyke.Backends
		list.Servers = list.Servers.With("r", buckthorndyke.Backend{ID: "r", Service: engines, Incarnation: 1})
		asserter.NoError(t, s.feeds.Lists.Publish(ctx, list))
		synctest.Wait()
		test(s)
	})
}

// alsoList adds a runner to the list.
func (s *site) alsoList(id buckthorndyke.RunnerID) {
	s.t.Helper()
	var list buckthorndyke.Backends
	for _, id := range []buckthorndyke.RunnerID{"r", id} {
		list.Servers = list.Servers.With(id, buckthorndyke.Backend{ID: id, Service: engines, Incarnation: 1})
	}
	asserter.NoError(s.t, s.feeds.Lists.Publish(s.ctx, list))
	synctest.Wait()
}

// lead makes the VM the leader.
func (s *site) lead(fence int64) { s.leadFor(fence, buckthorndyke.Hour) }

// leadFor makes the VM the leader for a time.
func (s *site) leadFor(fence int64, d buckthorndyke.Millis) {
	s.t.Helper()
	asserter.NoError(s.t, s.feeds.Terms.Publish(s.ctx, buckthorndyke.Term{FencingToken: fence, Leading: true, Until: s.clock.Now() + d}))
	synctest.Wait()
}

// succeed makes the VM the leader after another one.
func (s *site) succeed(fence int64) {
	s.t.Helper()
	asserter.NoError(s.t, s.feeds.Terms.Publish(s.ctx, buckthorndyke.Term{
		FencingToken: fence, Leading: true, PreviousLeader: "10.0.0.2:1", Until: s.clock.Now() + buckthorndyke.Hour,
	}))
	synctest.Wait()
}

func (s *site) wait(d buckthorndyke.Millis) {
	<-s.clock.After(d)
	synctest.Wait()
}

// want reports that a request waits for key, again if the leader asks for all
// recent arrivals.
func (s *site) want(key buckthorndyke.ModelKey) buckthorndyke.DemandReply {
	s.t.Helper()
	reply := s.report(key)
	if reply.WantRecentArrivals {
		reply = s.report(key)
	}
	return reply
}

// report reports once that a request waits for key.
func (s *site) report(key buckthorndyke.ModelKey) buckthorndyke.DemandReply {
	s.t.Helper()
	reply, err := s.loader.Report(s.ctx, "vm-2", buckthorndyke.DemandReport{
		Entries: []buckthorndyke.DemandEntry{{TimeLeft: buckthorndyke.Second, Key: key, Waiting: 1}}, Waiting: true,
	})
	asserter.NoError(s.t, err)
	return reply
}

// leaders answers the question to the previous leader.
type leaders struct {
	buckthorndyke.LeaderClient
	err  error
	said buckthorndyke.YieldReply
}

// Yield implements buckthorndyke.LeaderClient.
func (l *leaders) Yield(context.Context, string, int64) (buckthorndyke.YieldReply, error) {
	return l.said, l.err
}

// pool is one runner that accepts orders and whose report never changes.
type pool struct {
	buckthorndyke.BackendPool
	ctx      context.Context
	holdings []buckthorndyke.LoadedModel
	orders   *mailer.Mailbox[buckthorndyke.ModelOrder]
	outcome  buckthorndyke.ModelOrderOutcome
	reads    *mailer.Mailbox[mailer.Reply[[]buckthorndyke.ModelOrder]]
}

func newPool(ctx context.Context) *pool {
	return &pool{
		ctx:    ctx,
		orders: mailer.NewMailbox[buckthorndyke.ModelOrder](), outcome: buckthorndyke.ModelOrderAccepted,
		reads: mailer.NewMailbox[mailer.Reply[[]buckthorndyke.ModelOrder]](),
	}
}

// Order implements buckthorndyke.BackendPool.
func (p *pool) Order(ctx context.Context, o buckthorndyke.ModelOrder) (buckthorndyke.ModelOrderOutcome, error) {
	return p.outcome, p.orders.Send(ctx, o)
}

// Report implements buckthorndyke.BackendPool.
func (p *pool) Report(_ context.Context, b buckthorndyke.Backend) (buckthorndyke.BackendReport, error) {
	b.Cached, b.LoadedModels = map[buckthorndyke.ModelID]buckthorndyke.Tier{hall: buckthorndyke.TierDisk}, p.holdings
	return buckthorndyke.BackendReport{Backend: b, AcceptedOrders: int64(len(p.sent()))}, nil
}

// sent returns the orders that were sent.
func (p *pool) sent() []buckthorndyke.ModelOrder {
	orders, _ := mailer.Ask(p.ctx, p.reads,
		func(reply mailer.Reply[[]buckthorndyke.ModelOrder]) mailer.Reply[[]buckthorndyke.ModelOrder] {
			return reply
		})
	return orders
}

// serve keeps the orders.
func (p *pool) serve(ctx context.Context) error {
	var sent []buckthorndyke.ModelOrder
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-p.orders.Receive():
			sent = append(sent, o)
		case reply := <-p.reads.Receive():
			reply.Answer(append([]buckthorndyke.ModelOrder(nil), sent...))
		}
	}
}

// routing returns a configuration whose runners hold two adapters.
func routing() buckthorndyke.Routing {
	facts := &buckthorndyke.EngineConfig{AdapterSlots: 2, LoadsPerSecond: 4, MemoryMB: 100_000, Slots: 64}
	facts.Models = facts.Models.With(hall, buckthorndyke.ModelConfig{
		AdapterMB: 40, Adapters: 9, MemoryMB: 60_000,
		LoadTimes: map[buckthorndyke.Tier]buckthorndyke.Millis{
			buckthorndyke.TierDisk: 2 * buckthorndyke.Second, buckthorndyke.TierRemote: 6 * buckthorndyke.Second,
		},
	})
	return buckthorndyke.Routing{Version: 1}.WithService(buckthorndyke.BackendService{Engine: facts, ID: engines})
}
