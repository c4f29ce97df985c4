package demander_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/demander"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const span = 4 * buckthorndyke.Second

func TestDemander(t *testing.T) {
	led := func(d *fake) { d.reply.Leading, d.leader = true, "10.0.0.2:1" }
	t.Run("the demand is reported, and the answer passed on", func(t *testing.T) {
		got := runDemander(t, led)
		asserter.True(t, got.reports >= 4 && got.reports <= 7, "the demand is not reported at its pace")
		asserter.Equal(t, got.replies, got.reports)
		asserter.Equal(t, got.losses, 0)
	})
	t.Run("a leader that asks for all recent arrivals gets them at once", func(t *testing.T) {
		got := runDemander(t, func(d *fake) {
			led(d)
			d.wantRecent = 1
		})
		asserter.Equal(t, got.recent, 1)
	})
	t.Run("the leader's word on the records is passed on", func(t *testing.T) {
		got := runDemander(t, func(d *fake) {
			led(d)
			d.reply.List = buckthorndyke.VersionNotice{Age: 300, VersionTag: 7}
			d.reply.ListChange = &buckthorndyke.ListChange{Removed: []buckthorndyke.RunnerID{"a"}}
		})
		asserter.Equal(t, got.list.VersionTag, 7)
		asserter.Equal(t, got.list.Change.Removed, []buckthorndyke.RunnerID{"a"})
		asserter.Equal(t, got.versionTag, 5)
	})
	t.Run("what the leader has learnt of the weight store is passed on", func(t *testing.T) {
		got := runDemander(t, func(d *fake) {
			led(d)
			d.reply.FullSpeedLoads = 3
		})
		asserter.Equal(t, got.fullSpeedLoads, 3)
	})
	t.Run("a VM that a leader asks to takes part in the election", func(t *testing.T) {
		got := runDemander(t, func(d *fake) {
			led(d)
			d.reply.ShouldCampaign = true
		})
		asserter.True(t, got.losses > 0, "nobody is told")
		asserter.Equal(t, got.noLeader, 0)
		asserter.Equal(t, got.replies, got.reports)
	})
	t.Run("a VM without a leader says so", func(t *testing.T) {
		got := runDemander(t, func(*fake) {})
		asserter.True(t, got.losses > 0 && got.noLeader > 0, "nobody is told")
		asserter.Equal(t, got.reports, 0)
	})
	t.Run("a leader that does not answer is a loss", func(t *testing.T) {
		got := runDemander(t, func(d *fake) {
			led(d)
			d.err = errors.New("no answer")
		})
		asserter.True(t, got.losses > 0 && got.noLeader > 0, "nobody is told")
	})
	t.Run("a VM that no longer leads is no leader", func(t *testing.T) {
		got := runDemander(t, func(d *fake) { d.leader = "10.0.0.2:1" })
		asserter.True(t, got.losses > 0, "nobody is told")
		asserter.Equal(t, got.replies, 0)
	})
	t.Run("an election that does not answer is asked less often", func(t *testing.T) {
		calm := runDemander(t, func(*fake) {})
		got := runDemander(t, func(d *fake) { d.searchErr = errors.New("down") })
		asserter.True(t, got.searches < calm.searches, "it is asked as often")
	})
}

// double is the dispatcher, the leader and the election of a demander, and what
// they have seen.
type fake struct {
	// askRecent is the number of answers that ask for all recent arrivals.
	wantRecent int
	err        error
	leader     string
	searchErr  error
	reply      buckthorndyke.DemandReply

	replies, searches, losses, recent, reports, noLeader int
	versionTag                                           uint64
	fullSpeedLoads                                       int
	list                                                 buckthorndyke.SeenVersion
}

// Campaign implements buckthorndyke.Election.
func (d *fake) Campaign(context.Context) (buckthorndyke.Term, error) {
	return buckthorndyke.Term{}, nil
}

// Demand implements buckthorndyke.DemandSource.
func (d *fake) Demand(_ context.Context, recent bool) (buckthorndyke.DemandReport, error) {
	if recent {
		d.recent++
	}
	return buckthorndyke.DemandReport{}, nil
}

// HandleNoLeader implements buckthorndyke.DemandSource.
func (d *fake) HandleNoLeader(context.Context) error {
	d.noLeader++
	return nil
}

// HandleReply implements buckthorndyke.DemandSource.
func (d *fake) HandleReply(context.Context, buckthorndyke.DemandReply) error {
	d.replies++
	return nil
}

// Leader implements buckthorndyke.Election.
func (d *fake) Leader(context.Context) (string, bool, error) {
	d.searches++
	return d.leader, d.leader != "", d.searchErr
}

// Report implements buckthorndyke.LeaderClient.
func (d *fake) Report(
	_ context.Context, _ string, _ buckthorndyke.VMID, demand buckthorndyke.DemandReport,
) (buckthorndyke.DemandReply, error) {
	d.reports++
	d.versionTag = demand.ListVersionTag
	reply := d.reply
	reply.WantRecentArrivals = d.reports <= d.wantRecent
	return reply, d.err
}

// Resign implements buckthorndyke.Election.
func (d *fake) Resign(context.Context) error { return nil }

// WorkWaiting implements buckthorndyke.DemandSource.
func (d *fake) WorkWaiting() <-chan struct{} { return nil }

// Yield implements buckthorndyke.LeaderClient.
func (d *fake) Yield(context.Context, string, int64) (buckthorndyke.YieldReply, error) {
	return buckthorndyke.YieldReply{}, nil
}

// play runs a demander for span with a double that set has prepared.
func runDemander(t *testing.T, set func(d *fake)) *fake {
	t.Helper()
	d := &fake{}
	set(d)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := timekeeper.NewRealClock()
		losses, seen := mailer.NewFeed[buckthorndyke.Millis](), mailer.NewFeed[buckthorndyke.SeenVersion]()
		feeds := demander.ReplyFeeds{
			FullSpeedLoads: mailer.NewFeed[int](),
			Lists:          mailer.NewFeed[buckthorndyke.SeenVersion](), Routings: mailer.NewFeed[buckthorndyke.SeenVersion](),
		}
		for _, serve := range []func(context.Context) error{losses.Serve, seen.Serve, feeds.FullSpeedLoads.Serve, feeds.Lists.Serve, feeds.Routings.Serve} {
			go func() { _ = serve(ctx) }()
		}
		lost, lists, fullSpeedLoads := losses.Subscribe(ctx), feeds.Lists.Subscribe(ctx), feeds.FullSpeedLoads.Subscribe(ctx)
		synctest.Wait()
		asserter.NoError(t, seen.Publish(ctx, buckthorndyke.SeenVersion{VersionTag: 5}))
		synctest.Wait()
		done := make(chan error, 1)
		go func() { done <- demander.New("vm-1", d, d, d, losses, seen, feeds, clock, zerolog.Nop()).Serve(ctx) }()
		for end := clock.After(span); ; {
			select {
			case <-lost:
				d.losses++
				continue
			case d.list = <-lists:
				continue
			case d.fullSpeedLoads = <-fullSpeedLoads:
				continue
			case <-end:
			}
			break
		}
		cancel()
		asserter.Error(t, <-done)
	})
	return d
}
