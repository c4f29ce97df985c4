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
	led := func(f *fake) { f.reply.Leading, f.leader = true, "10.0.0.2:1" }
	t.Run("the demand is reported, and the reply is passed on", func(t *testing.T) {
		got := runDemander(t, led)
		asserter.True(t, got.reports >= 4 && got.reports <= 7, "the demand is not reported at the expected interval")
		asserter.Equal(t, got.replies, got.reports)
		asserter.Equal(t, got.losses, 0)
	})
	t.Run("a leader that asks for all recent arrivals gets them at once", func(t *testing.T) {
		got := runDemander(t, func(f *fake) {
			led(f)
			f.wantRecent = 1
		})
		asserter.Equal(t, got.recent, 1)
	})
	t.Run("the versions in the leader's reply are published", func(t *testing.T) {
		got := runDemander(t, func(f *fake) {
			led(f)
			f.reply.List = buckthorndyke.VersionNotice{Age: 300, VersionTag: 7}
			f.reply.ListChange = &buckthorndyke.ListChange{Removed: []buckthorndyke.RunnerID{"a"}}
		})
		asserter.Equal(t, got.list.VersionTag, 7)
		asserter.Equal(t, got.list.Change.Removed, []buckthorndyke.RunnerID{"a"})
		asserter.Equal(t, got.versionTag, 5)
	})
	t.Run("a numbered report has the incarnation of the process", func(t *testing.T) {
		got := runDemander(t, func(f *fake) {
			led(f)
			f.number = 1
		})
		asserter.Equal(t, got.incarnation, 9)
	})
	t.Run("a report without a number has no incarnation", func(t *testing.T) {
		asserter.Equal(t, runDemander(t, led).incarnation, 0)
	})
	t.Run("the number of loads at full speed is published", func(t *testing.T) {
		got := runDemander(t, func(f *fake) {
			led(f)
			f.reply.FullSpeedLoads = 3
		})
		asserter.Equal(t, got.fullSpeedLoads, 3)
	})
	t.Run("a VM takes part in the election if the leader asks for it", func(t *testing.T) {
		got := runDemander(t, func(f *fake) {
			led(f)
			f.reply.ShouldCampaign = true
		})
		asserter.True(t, got.losses > 0, "the campaigner or the source is not notified")
		asserter.Equal(t, got.noLeader, 0)
		asserter.Equal(t, got.replies, got.reports)
	})
	t.Run("a missing leader is reported", func(t *testing.T) {
		got := runDemander(t, func(*fake) {})
		asserter.True(t, got.losses > 0 && got.noLeader > 0, "the campaigner or the source is not notified")
		asserter.Equal(t, got.reports, 0)
	})
	t.Run("a leader that does not reply counts as lost", func(t *testing.T) {
		got := runDemander(t, func(f *fake) {
			led(f)
			f.err = errors.New("no reply")
		})
		asserter.True(t, got.losses > 0 && got.noLeader > 0, "the campaigner or the source is not notified")
	})
	t.Run("a VM that no longer leads counts as lost", func(t *testing.T) {
		got := runDemander(t, func(f *fake) { f.leader = "10.0.0.2:1" })
		asserter.True(t, got.losses > 0, "the campaigner or the source is not notified")
		asserter.Equal(t, got.replies, 0)
	})
	t.Run("an election that does not respond is asked less often", func(t *testing.T) {
		healthy := runDemander(t, func(*fake) {})
		got := runDemander(t, func(f *fake) { f.searchErr = errors.New("down") })
		asserter.True(t, got.searches < healthy.searches, "it is asked as often")
	})
}

// fake is the dispatcher, the leader and the election of a demander, and records what
// they receive.
type fake struct {
	// incarnation is that of the last report, number the number of each report.
	incarnation buckthorndyke.Incarnation
	number      uint64
	err         error
	leader      string
	reply       buckthorndyke.DemandReply
	searchErr   error
	// wantRecent is the number of replies that ask for all recent arrivals.
	wantRecent int

	fullSpeedLoads                                       int
	list                                                 buckthorndyke.SeenVersion
	losses, noLeader, recent, replies, reports, searches int
	versionTag                                           uint64
}

// Campaign implements buckthorndyke.Election.
func (f *fake) Campaign(context.Context) (buckthorndyke.Term, error) {
	return buckthorndyke.Term{}, nil
}

// Demand implements buckthorndyke.DemandSource.
func (f *fake) Demand(_ context.Context, recent bool) (buckthorndyke.DemandReport, error) {
	if recent {
		f.recent++
	}
	return buckthorndyke.DemandReport{Number: f.number}, nil
}

// HandleNoLeader implements buckthorndyke.DemandSource.
func (f *fake) HandleNoLeader(context.Context) error {
	f.noLeader++
	return nil
}

// HandleReply implements buckthorndyke.DemandSource.
func (f *fake) HandleReply(context.Context, buckthorndyke.DemandReply) error {
	f.replies++
	return nil
}

// Leader implements buckthorndyke.Election.
func (f *fake) Leader(context.Context) (string, bool, error) {
	f.searches++
	return f.leader, f.leader != "", f.searchErr
}

// Report implements buckthorndyke.LeaderClient.
func (f *fake) Report(
	_ context.Context, _ string, _ buckthorndyke.VMID, demand buckthorndyke.DemandReport,
) (buckthorndyke.DemandReply, error) {
	f.reports++
	f.versionTag, f.incarnation = demand.ListVersionTag, demand.Incarnation
	reply := f.reply
	reply.WantRecentArrivals = f.reports <= f.wantRecent
	return reply, f.err
}

// Resign implements buckthorndyke.Election.
func (f *fake) Resign(context.Context) error { return nil }

// WorkWaiting implements buckthorndyke.DemandSource.
func (f *fake) WorkWaiting() <-chan struct{} { return nil }

// Yield implements buckthorndyke.LeaderClient.
func (f *fake) Yield(context.Context, string, int64) (buckthorndyke.YieldReply, error) {
	return buckthorndyke.YieldReply{}, nil
}

// runDemander runs a demander for the time span with a fake that set has prepared.
func runDemander(t *testing.T, set func(f *fake)) *fake {
	t.Helper()
	f := &fake{}
	set(f)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := timekeeper.NewRealClock()
		losses, seen := mailer.NewFeed[buckthorndyke.Millis](), mailer.NewFeed[buckthorndyke.SeenVersion]()
		feeds := demander.ReplyFeeds{
			Found:          mailer.NewFeed[buckthorndyke.Millis](),
			FullSpeedLoads: mailer.NewFeed[int](),
			Lists:          mailer.NewFeed[buckthorndyke.SeenVersion](), Routings: mailer.NewFeed[buckthorndyke.SeenVersion](),
		}
		for _, serve := range []func(context.Context) error{losses.Serve, seen.Serve, feeds.Found.Serve, feeds.FullSpeedLoads.Serve, feeds.Lists.Serve, feeds.Routings.Serve} {
			go func() { _ = serve(ctx) }()
		}
		lost, lists, fullSpeedLoads := losses.Subscribe(ctx), feeds.Lists.Subscribe(ctx), feeds.FullSpeedLoads.Subscribe(ctx)
		synctest.Wait()
		asserter.NoError(t, seen.Publish(ctx, buckthorndyke.SeenVersion{VersionTag: 5}))
		synctest.Wait()
		done := make(chan error, 1)
		go func() {
			done <- demander.New("vm-1", f, f, f, losses, seen, feeds, clock, zerolog.Nop(), demander.WithIncarnation(9)).Serve(ctx)
		}()
		for end := clock.After(span); ; {
			select {
			case <-lost:
				f.losses++
				continue
			case f.list = <-lists:
				continue
			case f.fullSpeedLoads = <-fullSpeedLoads:
				continue
			case <-end:
			}
			break
		}
		cancel()
		asserter.Error(t, <-done)
	})
	return f
}
