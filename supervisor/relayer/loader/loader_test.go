package loader_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
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
	t.Run("a VM that does not lead sends no orders", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			reply := f.reportDemand(hallKey)
			asserter.True(t, !reply.Leading, "the VM replies that it leads")
			f.wait(5 * buckthorndyke.Second)
			asserter.Equal(t, len(f.pool.sent()), 0)
		})
	})
	t.Run("a leader without a known predecessor waits for the lease", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.startTerm(7)
			f.wait(lease - 400)
			f.reportDemand(hallKey)
			asserter.Equal(t, len(f.pool.sent()), 0)
			f.wait(400)
			f.reportDemand(hallKey)
			asserter.Equal(t, f.pool.sent()[0].FencingToken, int64(7))
		})
	})
	t.Run("a leader without a predecessor does not wait if fencing tokens are checked", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.startTerm(7)
			f.reportDemand(hallKey)
			asserter.Equal(t, len(f.pool.sent()), 1)
		}, loader.WithFencingTokenChecks(true))
	})
	// After a restore of the store from an older copy, the leader's next term has another
	// fencing token. A lease without orders is time in which no model is loaded.
	t.Run("a leader does not wait for the lease if its own grant has not expired", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.startTerm(7)
			f.wait(lease)
			f.startTerm(8)
			f.reportDemand(hallKey)
			sent := f.pool.sent()
			asserter.Equal(t, len(sent), 1)
			for _, order := range sent {
				asserter.Equal(t, order.FencingToken, int64(8))
			}
		})
	})
	t.Run("a leader whose own grant has not expired waits for the rest of the lease", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.startTerm(7)
			f.wait(lease - 400)
			f.startTerm(8)
			f.reportDemand(hallKey)
			asserter.Equal(t, len(f.pool.sent()), 0)
			f.wait(400)
			f.reportDemand(hallKey)
			asserter.Equal(t, len(f.pool.sent()), 1)
		})
	})
	t.Run("a leader whose own grant has expired waits for the lease", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.startTermFor(7, lease)
			f.wait(lease)
			f.startTerm(8)
			f.reportDemand(hallKey)
			asserter.Equal(t, len(f.pool.sent()), 0)
			f.wait(lease)
			f.reportDemand(hallKey)
			asserter.Equal(t, len(f.pool.sent()), 1)
		})
	})
	// The store may have lost the record of a leader that followed the known one, and that sent
	// orders until its grant expired.
	t.Run("a leader that may have another predecessor waits for the lease", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.leaders.reply = buckthorndyke.YieldReply{SinceLastOrder: lease}
			asserter.NoError(t, f.feeds.Terms.Publish(f.ctx, buckthorndyke.Term{
				FencingToken: 7, Leading: true, PreviousLeader: "10.0.0.2:1", PreviousUncertain: true,
				Until: f.clock.Now() + buckthorndyke.Hour,
			}))
			synctest.Wait()
			f.wait(lease - 400)
			f.reportDemand(hallKey)
			asserter.Equal(t, len(f.pool.sent()), 0)
			f.wait(400)
			f.reportDemand(hallKey)
			asserter.Equal(t, len(f.pool.sent()), 1)
		})
	})
	t.Run("a leader that has sent no order replies with the time of its predecessor's last order", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.leaders.reply = buckthorndyke.YieldReply{GrantValid: true, SinceLastOrder: 500}
			f.startTermAfter(7)
			f.wait(buckthorndyke.Second)
			reply, err := f.loader.Yield(f.ctx, 8)
			asserter.NoError(t, err)
			asserter.Equal(t, reply.SinceLastOrder, 1500*buckthorndyke.Millisecond)
		}, loader.WithFencingTokenChecks(true))
	})
	t.Run("a leader waits for the lease from its predecessor's last order on", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.leaders.reply = buckthorndyke.YieldReply{GrantValid: true, SinceLastOrder: lease - buckthorndyke.Second}
			f.startTermAfter(7)
			f.wait(300)
			f.reportDemand(hallKey)
			asserter.Equal(t, len(f.pool.sent()), 0)
			f.wait(600)
			f.reportDemand(hallKey)
			asserter.Equal(t, len(f.pool.sent()), 1)
		})
	})
	t.Run("a leader does not wait for an unreachable predecessor if fencing tokens are checked", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.leaders.err = errors.New("no reply")
			f.startTermAfter(7)
			f.wait(200)
			f.reportDemand(hallKey)
			asserter.Equal(t, len(f.pool.sent()), 1)
		}, loader.WithFencingTokenChecks(true))
	})
	t.Run("a leader does not wait for a predecessor with an expired grant if fencing tokens are checked", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.leaders.reply = buckthorndyke.YieldReply{SinceLastOrder: 10}
			f.startTermAfter(7)
			f.wait(200)
			f.reportDemand(hallKey)
			asserter.Equal(t, len(f.pool.sent()), 1)
		}, loader.WithFencingTokenChecks(true))
	})
	t.Run("a VM whose grant has expired says so", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.startTermFor(7, buckthorndyke.Second)
			f.wait(2 * buckthorndyke.Second)
			reply, err := f.loader.Yield(f.ctx, 8)
			asserter.NoError(t, err)
			asserter.True(t, !reply.GrantValid, "the VM replies that its grant is valid")
		})
	})
	t.Run("a leader waits for an unreachable predecessor if fencing tokens are not checked", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.leaders.err = errors.New("no reply")
			f.startTermAfter(7)
			f.wait(lease - 400)
			f.reportDemand(hallKey)
			asserter.Equal(t, len(f.pool.sent()), 0)
		})
	})
	t.Run("a leader whose grant is about to expire sends no orders", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.startTermFor(7, lease+buckthorndyke.Second)
			f.wait(lease + 900)
			f.reportDemand(hallKey)
			asserter.Equal(t, len(f.pool.sent()), 0)
		})
	})
	t.Run("a leader with an expired grant goes on if fencing tokens are checked", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.startTermFor(7, lease+buckthorndyke.Second)
			f.wait(lease + 5*buckthorndyke.Second)
			f.reportDemand(hallKey)
			asserter.Equal(t, len(f.pool.sent()), 1)
			_, err := f.loader.Yield(f.ctx, 8)
			asserter.NoError(t, err)
			f.wait(2 * buckthorndyke.Second)
			asserter.True(t, !f.reportDemand(hallKey).Leading, "the VM replies that it leads")
			asserter.Equal(t, len(f.pool.sent()), 1)
		}, loader.WithFencingTokenChecks(true))
	})
	t.Run("a leader whose order is fenced sends no more orders", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.pool.outcome = buckthorndyke.ModelOrderFenced
			f.startTerm(7)
			f.wait(lease + 100)
			f.reportDemand(hallKey)
			f.wait(buckthorndyke.Second)
			reply := f.reportDemand(hallKey)
			asserter.True(t, !reply.Leading, "the VM replies that it leads")
			asserter.Equal(t, len(f.pool.sent()), 1)
		})
	})
	t.Run("a leader yields to a higher fencing token and replies with the time of its last order", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.startTerm(7)
			f.wait(lease + 100)
			f.reportDemand(hallKey)
			f.wait(400)
			reply, err := f.loader.Yield(f.ctx, 8)
			asserter.NoError(t, err)
			asserter.True(t, reply.GrantValid, "the VM replies that its grant has expired")
			asserter.True(t, reply.SinceLastOrder >= 400 && reply.SinceLastOrder < buckthorndyke.Second, "the time since the last order is wrong")
			asserter.True(t, !f.reportDemand(hallKey).Leading, "the VM replies that it leads")
		})
	})
}

func TestSuccession(t *testing.T) {
	t.Run("a new leader asks each VM once for all recent arrivals", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.startTerm(7)
			f.wait(lease + 100)
			asserter.True(t, f.report(hallKey).WantRecentArrivals, "a new leader does not ask")
			asserter.True(t, !f.report(hallKey).WantRecentArrivals, "a leader asks again")
			f.startTerm(8)
			asserter.True(t, f.report(hallKey).WantRecentArrivals, "a leader of a new term does not ask")
		})
	})
	t.Run("a leader estimates when a model is loaded", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.startTerm(7)
			f.wait(lease + 100)
			f.reportDemand(hallKey)
			f.wait(buckthorndyke.Second)
			estimates := f.reportDemand(hallKey).LoadEstimates
			asserter.Equal(t, len(estimates), 1)
			asserter.Equal(t, estimates[0].Key, hallKey)
			asserter.True(t, estimates[0].ReadyIn > 500 && estimates[0].ReadyIn < buckthorndyke.Second, "the estimate is wrong")
		})
	})
}

func TestReply(t *testing.T) {
	reportAttempts := func(f *fixture, vm buckthorndyke.VMID, failed, served int) buckthorndyke.DemandReply {
		reply, err := f.loader.Report(f.ctx, vm, buckthorndyke.DemandReport{
			Attempts: []buckthorndyke.AttemptCounts{{Failed: failed, Served: served, Server: "r"}},
		})
		asserter.NoError(t, err)
		return reply
	}
	t.Run("a server that fails requests of several VMs is a suspect for all", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.addRunner("r2")
			f.startTerm(7)
			asserter.Equal(t, len(reportAttempts(f, "vm-2", 1, 0).Suspects), 0)
			asserter.Equal(t, len(reportAttempts(f, "vm-3", 1, 0).Suspects), 0)
			asserter.Equal(t, reportAttempts(f, "vm-4", 1, 0).Suspects, []buckthorndyke.RunnerID{"r"})
			asserter.Equal(t, reportAttempts(f, "vm-5", 0, 0).Suspects, []buckthorndyke.RunnerID{"r"})
		})
	})
	t.Run("each VM receives the crashes that the others have reported, once", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.startTerm(7)
			report := func(vm buckthorndyke.VMID, demand buckthorndyke.DemandReport) buckthorndyke.CrashEvidence {
				reply, err := f.loader.Report(f.ctx, vm, demand)
				asserter.NoError(t, err)
				return reply.Crashes
			}
			for _, server := range []buckthorndyke.RunnerID{"a", "b", "c"} {
				report(buckthorndyke.VMID(server), buckthorndyke.DemandReport{Crashes: buckthorndyke.CrashEvidence{Crashes: []buckthorndyke.Crash{{
					Lifetime: buckthorndyke.Lifetime{Server: server}, Requests: [][]buckthorndyke.Fingerprint{{"f"}},
				}}}})
			}
			got := report("vm-new", buckthorndyke.DemandReport{CrashesSeen: 1000})
			asserter.Equal(t, len(got.Crashes), 3)
			asserter.Equal(t, len(got.Quarantines), 1)
			asserter.True(t, report("vm-new", buckthorndyke.DemandReport{CrashesSeen: got.Version}).Empty(), "the evidence is sent again")
		})
	})
	t.Run("a leader with an expired grant asks some VMs to take part in the election", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.startTermFor(7, buckthorndyke.Second)
			asserter.True(t, !reportAttempts(f, "vm-2", 0, 0).ShouldCampaign, "a leader with a valid grant asks")
			f.wait(2 * buckthorndyke.Second)
			asked := 0
			for range 2 {
				asked = 0
				for n := range 20 {
					if reportAttempts(f, buckthorndyke.VMID("vm-"+string(rune('a'+n))), 0, 0).ShouldCampaign {
						asked++
					}
				}
			}
			asserter.Equal(t, asked, 6)
		}, loader.WithFencingTokenChecks(true))
	})
	t.Run("a leader adopts the number of loads at full speed that its predecessor has learned", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			asserter.NoError(t, f.feeds.FullSpeedLoads.Publish(f.ctx, 7))
			synctest.Wait()
			f.startTerm(7)
			asserter.Equal(t, reportAttempts(f, "vm-2", 0, 0).FullSpeedLoads, 7)
			asserter.NoError(t, f.feeds.FullSpeedLoads.Publish(f.ctx, 3))
			synctest.Wait()
			asserter.Equal(t, reportAttempts(f, "vm-2", 0, 0).FullSpeedLoads, 7)
		})
	})
	t.Run("the reply to a VM that waits for a loaded model names its runner", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.pool.loadedModels = []buckthorndyke.LoadedModel{{Model: hall}}
			f.startTerm(7)
			f.wait(lease + 6*buckthorndyke.Second)
			f.report(hallKey)
			f.wait(5 * buckthorndyke.Second)
			asserter.Equal(t, f.report(hallKey).RunnerModels[0].Runner, "r")
		})
	})
}

func TestAdapters(t *testing.T) {
	key := func(adapter string) buckthorndyke.ModelKey {
		return buckthorndyke.ModelKey{Adapter: adapter, Model: hall, Service: engines}
	}
	t.Run("an adapter that is still in use keeps its slot", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.pool.loadedModels = []buckthorndyke.LoadedModel{{Adapters: []string{"a1", "a2"}, Model: hall}}
			f.startTerm(7)
			f.wait(lease + 500)
			f.reportDemand(key("a3"))
			asserter.Equal(t, f.pool.sent()[0].Kind, buckthorndyke.OrderUnload)
			// The runner unloads the adapter only after its requests have ended.
			f.wait(buckthorndyke.Second)
			f.reportDemand(key("a3"))
			asserter.Equal(t, len(f.pool.sent()), 1)
		})
	})
	t.Run("the reply has a loaded adapter before the runner's report shows it", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.pool.loadedModels = []buckthorndyke.LoadedModel{{Model: hall}}
			f.startTerm(7)
			f.wait(lease + 500)
			reply := f.reportDemand(key("a3"))
			asserter.Equal(t, len(reply.RunnerModels), 1)
			asserter.True(t, reply.RunnerModels[0].LoadedModels[0].HasAdapter("a3"), "the reply lacks the adapter")
		})
	})
}

// TestPredictedLoads guards against VMs that learn of the end of a load only from a
// report, which is old, and against a prediction that outlives the reports against it.
func TestPredictedLoads(t *testing.T) {
	t.Run("the reply has a model as soon as its load takes no longer, until reports contradict it", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			f.startTerm(7)
			f.wait(lease + 500)
			f.reportDemand(hallKey)
			asserter.Equal(t, f.pool.sent()[0].Kind, buckthorndyke.OrderLoad)
			// The load from the disk takes 2 s by the configuration, and 55 ms more with the
			// margin; the reply to a report is held back for 250 ms.
			f.wait(1500)
			asserter.Equal(t, len(f.report(hallKey).RunnerModels), 0)
			before := f.clock.Now()
			told := f.report(hallKey)
			asserter.Equal(t, len(told.RunnerModels), 1)
			asserter.Equal(t, told.RunnerModels[0].LoadedModels[0].Model, hall)
			asserter.True(t, f.clock.Now()-before < 200, "the reply is held back after the end of the load")
			// The runner's reports never show the model.
			f.wait(600)
			contradicted := f.report(hallKey)
			asserter.Equal(t, len(contradicted.RunnerModels), 1)
			asserter.Equal(t, len(contradicted.RunnerModels[0].LoadedModels), 0)
		})
	})
}

// TestReportTimes guards against a runner that stays idle after an unload until the next
// regular poll.
func TestReportTimes(t *testing.T) {
	// delay returns the time from an unload to the load that it makes room for.
	delay := func(f *fixture) buckthorndyke.Millis {
		f.pool.loadedModels, f.pool.unloads = []buckthorndyke.LoadedModel{{Model: "other"}}, true
		f.addModel("other")
		f.startTerm(7)
		f.wait(lease + 2*buckthorndyke.Second)
		for range 3 {
			f.report(hallKey)
		}
		sent := f.pool.history()
		asserter.Equal(f.t, len(sent), 2)
		asserter.Equal(f.t, sent[0].Kind, buckthorndyke.OrderUnload)
		asserter.Equal(f.t, sent[1].Kind, buckthorndyke.OrderLoad)
		return sent[1].at - sent[0].at
	}
	// Plans are made every 30 ms.
	t.Run("a report is requested as soon as it can show the end of an unload", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			asserter.True(t, delay(f) <= 230, "the load waits for the next regular poll")
		})
	})
	t.Run("the load waits for no report with early loads", func(t *testing.T) {
		withFixture(t, func(f *fixture) {
			asserter.True(t, delay(f) <= 30, "the load waits for a report")
		}, loader.WithEarlyLoads(true))
	})
}

// TestOrderReasons guards against orders whose cause an operator cannot see.
func TestOrderReasons(t *testing.T) {
	t.Run("an order is logged with its reason, the worth of the load and the cost of what it evicts", func(t *testing.T) {
		var lines bytes.Buffer
		withFixture(t, func(f *fixture) {
			f.pool.loadedModels, f.pool.unloads = []buckthorndyke.LoadedModel{{Model: "other"}}, true
			f.addModel("other")
			f.startTerm(7)
			f.wait(lease + 2*buckthorndyke.Second)
			for range 3 {
				f.report(hallKey)
			}
			f.cancel()
			synctest.Wait()
			asserter.Contains(t, lines.String(), `"reason":"waiting","worth":2,"eviction-cost":0.2`)
			asserter.Contains(t, lines.String(), `"reason":"continued"`)
		}, loader.WithLogger(zerolog.New(&lines)))
	})
	t.Run("orders are counted by kind and reason", func(t *testing.T) {
		metrics := reporter.NewMetrics()
		withFixture(t, func(f *fixture) {
			f.startTerm(7)
			f.wait(lease + 500)
			f.reportDemand(hallKey)
			asserter.Contains(t, string(metrics.Text()), "order_reasons")
		}, loader.WithMeter(metrics))
	})
}

// fixture is a loader with one runner, in a synctest bubble.
type fixture struct {
	cancel  context.CancelFunc
	clock   buckthorndyke.Clock
	ctx     context.Context
	feeds   loader.Feeds
	leaders *leaders
	loader  *loader.Loader
	pool    *pool
	t       *testing.T
}

// withFixture runs test with a loader that has a configuration and a listed runner.
func withFixture(t *testing.T, test func(f *fixture), opts ...loader.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &fixture{
			cancel: cancel, clock: timekeeper.NewRealClock(), ctx: ctx,
			feeds: loader.Feeds{
				FullSpeedLoads: mailer.NewFeed[int](),
				Lists:          mailer.NewFeed[buckthorndyke.Backends](),
				Routings:       mailer.NewFeed[buckthorndyke.Routing](), SeenList: mailer.NewFeed[buckthorndyke.SeenVersion](),
				SeenRouting: mailer.NewFeed[buckthorndyke.SeenVersion](), Terms: mailer.NewFeed[buckthorndyke.Term](),
			},
			leaders: &leaders{}, t: t,
		}
		f.pool = newPool(ctx, f.clock)
		f.loader = loader.New(buckthorndyke.Self{PeerAddress: "10.0.0.1:1", VM: self}, f.pool, f.leaders, f.feeds, lease, f.clock, opts...)
		for _, serve := range []func(context.Context) error{
			f.feeds.FullSpeedLoads.Serve, f.feeds.Lists.Serve, f.feeds.Routings.Serve, f.feeds.SeenList.Serve, f.feeds.SeenRouting.Serve, f.feeds.Terms.Serve, f.pool.serve, f.loader.Serve,
		} {
			go func() { _ = serve(ctx) }()
		}
		asserter.NoError(t, f.feeds.Routings.Publish(ctx, routing()))
		var list buckthorndyke.Backends
		list.Servers = list.Servers.With("r", buckthorndyke.Backend{ID: "r", Incarnation: 1, Service: engines})
		asserter.NoError(t, f.feeds.Lists.Publish(ctx, list))
		synctest.Wait()
		test(f)
	})
}

// addModel adds a model of the size of hall to the configuration.
func (f *fixture) addModel(id buckthorndyke.ModelID) {
	f.t.Helper()
	r := routing()
	service, _ := r.Services.Get(engines)
	model, _ := service.Engine.Models.Get(hall)
	service.Engine.Models = service.Engine.Models.With(id, model)
	asserter.NoError(f.t, f.feeds.Routings.Publish(f.ctx, r.WithService(service)))
	synctest.Wait()
}

// addRunner adds a runner to the list.
func (f *fixture) addRunner(id buckthorndyke.RunnerID) {
	f.t.Helper()
	var list buckthorndyke.Backends
	for _, id := range []buckthorndyke.RunnerID{"r", id} {
		list.Servers = list.Servers.With(id, buckthorndyke.Backend{ID: id, Incarnation: 1, Service: engines})
	}
	asserter.NoError(f.t, f.feeds.Lists.Publish(f.ctx, list))
	synctest.Wait()
}

// report reports once that a request waits for key.
func (f *fixture) report(key buckthorndyke.ModelKey) buckthorndyke.DemandReply {
	f.t.Helper()
	reply, err := f.loader.Report(f.ctx, "vm-2", buckthorndyke.DemandReport{
		Entries: []buckthorndyke.DemandEntry{{Key: key, TimeLeft: buckthorndyke.Second, Waiting: 1}}, Waiting: true,
	})
	asserter.NoError(f.t, err)
	return reply
}

// reportDemand reports that a request waits for key, a second time if the leader asks
// for all recent arrivals.
func (f *fixture) reportDemand(key buckthorndyke.ModelKey) buckthorndyke.DemandReply {
	f.t.Helper()
	reply := f.report(key)
	if reply.WantRecentArrivals {
		reply = f.report(key)
	}
	return reply
}

// startTerm makes the VM the leader.
func (f *fixture) startTerm(fencingToken int64) { f.startTermFor(fencingToken, buckthorndyke.Hour) }

// startTermAfter makes the VM the leader after another one.
func (f *fixture) startTermAfter(fencingToken int64) {
	f.t.Helper()
	asserter.NoError(f.t, f.feeds.Terms.Publish(f.ctx, buckthorndyke.Term{
		FencingToken: fencingToken, Leading: true, PreviousLeader: "10.0.0.2:1", Until: f.clock.Now() + buckthorndyke.Hour,
	}))
	synctest.Wait()
}

// startTermFor makes the VM the leader for a time.
func (f *fixture) startTermFor(fencingToken int64, d buckthorndyke.Millis) {
	f.t.Helper()
	asserter.NoError(f.t, f.feeds.Terms.Publish(f.ctx, buckthorndyke.Term{FencingToken: fencingToken, Leading: true, Until: f.clock.Now() + d}))
	synctest.Wait()
}

func (f *fixture) wait(d buckthorndyke.Millis) {
	<-f.clock.After(d)
	synctest.Wait()
}

// leaders replies for the previous leader.
type leaders struct {
	buckthorndyke.LeaderClient
	err   error
	reply buckthorndyke.YieldReply
}

// Yield implements buckthorndyke.LeaderClient.
func (l *leaders) Yield(context.Context, string, int64) (buckthorndyke.YieldReply, error) {
	return l.reply, l.err
}

// sentOrder is an order and the instant at which it was sent.
type sentOrder struct {
	buckthorndyke.ModelOrder
	at buckthorndyke.Millis
}

// pool has one runner, which accepts orders and whose report never changes, except that
// it shows unloads 200 ms late if unloads is set.
type pool struct {
	buckthorndyke.BackendPool
	clock        buckthorndyke.Clock
	ctx          context.Context
	loadedModels []buckthorndyke.LoadedModel
	orders       *mailer.Mailbox[buckthorndyke.ModelOrder]
	outcome      buckthorndyke.ModelOrderOutcome
	reads        *mailer.Mailbox[mailer.Reply[[]sentOrder]]
	unloads      bool
}

func newPool(ctx context.Context, clock buckthorndyke.Clock) *pool {
	return &pool{
		clock: clock, ctx: ctx,
		orders: mailer.NewMailbox[buckthorndyke.ModelOrder](), outcome: buckthorndyke.ModelOrderAccepted,
		reads: mailer.NewMailbox[mailer.Reply[[]sentOrder]](),
	}
}

// Order implements buckthorndyke.BackendPool.
func (p *pool) Order(ctx context.Context, o buckthorndyke.ModelOrder) (buckthorndyke.ModelOrderOutcome, error) {
	return p.outcome, p.orders.Send(ctx, o)
}

// Report implements buckthorndyke.BackendPool.
func (p *pool) Report(_ context.Context, b buckthorndyke.Backend) (buckthorndyke.BackendReport, error) {
	sent := p.history()
	b.Cached, b.LoadedModels = map[buckthorndyke.ModelID]buckthorndyke.Tier{hall: buckthorndyke.TierDisk}, p.loadedModels
	for _, o := range sent {
		if p.unloads && o.Kind == buckthorndyke.OrderUnload && p.clock.Now() >= o.at+200 {
			b.LoadedModels = nil
		}
	}
	return buckthorndyke.BackendReport{Backend: b, AcceptedOrders: int64(len(sent))}, nil
}

// history returns the orders that were sent with their times.
func (p *pool) history() []sentOrder {
	orders, _ := mailer.Ask(p.ctx, p.reads, func(reply mailer.Reply[[]sentOrder]) mailer.Reply[[]sentOrder] { return reply })
	return orders
}

// sent returns the orders that were sent.
func (p *pool) sent() []buckthorndyke.ModelOrder {
	var orders []buckthorndyke.ModelOrder
	for _, o := range p.history() {
		orders = append(orders, o.ModelOrder)
	}
	return orders
}

// serve records the orders.
func (p *pool) serve(ctx context.Context) error {
	var sent []sentOrder
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-p.orders.Receive():
			sent = append(sent, sentOrder{ModelOrder: o, at: p.clock.Now()})
		case reply := <-p.reads.Receive():
			reply.Answer(append([]sentOrder(nil), sent...))
		}
	}
}

// routing returns a configuration whose runners have two adapter slots.
func routing() buckthorndyke.Routing {
	cfg := &buckthorndyke.EngineConfig{AdapterSlots: 2, LoadsPerSecond: 4, MemoryMB: 100_000, Slots: 64}
	cfg.Models = cfg.Models.With(hall, buckthorndyke.ModelConfig{
		AdapterMB: 40, Adapters: 9,
		LoadTimes: map[buckthorndyke.Tier]buckthorndyke.Millis{
			buckthorndyke.TierDisk: 2 * buckthorndyke.Second, buckthorndyke.TierRemote: 6 * buckthorndyke.Second,
		},
		MemoryMB: 60_000,
	})
	return buckthorndyke.Routing{Version: 1}.WithService(buckthorndyke.BackendService{Engine: cfg, ID: engines})
}
