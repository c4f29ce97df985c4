// Package demander reports the VM's demand for models to the leading VM and
// passes on what that knows of the runners.
package demander

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// calmEvery is the time between two reports while nothing waits.
	idleInterval = 800 * buckthorndyke.Millisecond
	// pressingEvery is the time between two reports while something waits.
	waitingInterval = 120 * buckthorndyke.Millisecond
	// pressingFirst is the least time between two reports.
	minInterval = 15 * buckthorndyke.Millisecond
	// reportTimeout bounds one report. The leader answers within a part of it.
	reportTimeout = 700 * buckthorndyke.Millisecond
	// outagePause is how much later than else a search is repeated if the election
	// does not answer.
	outageDelay = buckthorndyke.Second
	// searchEvery is the least time between two searches for the leader.
	searchInterval = 500 * buckthorndyke.Millisecond
)

// Demander is the task that talks to the leader.
type Demander struct {
	// address is where the leader answers, or empty.
	address  string
	clock    buckthorndyke.Clock
	election buckthorndyke.Election
	// atOnce is what the leader has told last of the weight store, or 0.
	fullSpeedLoads int
	leaders        buckthorndyke.LeaderClient
	logger         zerolog.Logger
	// losses takes the instants at which the leader did not answer.
	losses     *mailer.Feed[buckthorndyke.Millis]
	replyFeeds ReplyFeeds
	// searched is the instant of the last search for the leader.
	searchedAt buckthorndyke.Millis
	// seen brings which list of servers the VM knows.
	seen   *mailer.Feed[buckthorndyke.SeenVersion]
	self   buckthorndyke.VMID
	source buckthorndyke.DemandSource
}

// Told takes the leader's word on the platform's records.
type ReplyFeeds struct {
	// AtOnce takes what the leader has learnt of the weight store.
	FullSpeedLoads *mailer.Feed[int]
	Lists          *mailer.Feed[buckthorndyke.SeenVersion]
	Routings       *mailer.Feed[buckthorndyke.SeenVersion]
}

// New returns a demander for the VM self. It publishes to losses when there is no
// leader that answers, and follows seen to tell which list of servers the VM knows.
func New(
	self buckthorndyke.VMID, source buckthorndyke.DemandSource, election buckthorndyke.Election, leaders buckthorndyke.LeaderClient,
	losses *mailer.Feed[buckthorndyke.Millis], seen *mailer.Feed[buckthorndyke.SeenVersion], told ReplyFeeds, clock buckthorndyke.Clock, logger zerolog.Logger,
) *Demander {
	return &Demander{
		clock: clock, election: election, leaders: leaders, logger: logger, losses: losses, seen: seen, self: self,
		source: source, replyFeeds: told,
	}
}

// Serve implements suture.Service.
func (d *Demander) Serve(ctx context.Context) error {
	recent := false
	seen := d.seen.Subscribe(ctx)
	var known buckthorndyke.SeenVersion
	for ctx.Err() == nil {
		demand, err := d.source.Demand(ctx, recent)
		if err != nil {
			return err
		}
		select {
		case known = <-seen:
		default:
		}
		demand.ListVersionTag = known.VersionTag
		if recent = d.report(ctx, demand); recent {
			continue
		}
		wait := idleInterval
		if demand.Waiting {
			wait = waitingInterval
		}
		select {
		case <-ctx.Done():
		case <-d.source.WorkWaiting():
			// Requests that come together are reported together.
			<-d.clock.After(minInterval)
		case <-d.clock.After(wait):
		}
	}
	return ctx.Err()
}

// unled tells the source and the campaigner that no leader answers.
func (d *Demander) handleNoLeader(ctx context.Context) {
	if err := d.losses.Publish(ctx, d.clock.Now()); err != nil {
		return
	}
	if err := d.source.HandleNoLeader(ctx); err != nil && ctx.Err() == nil {
		d.logger.Warn().EmbedObject(reporter.EventDependencyLost).Str("dependency", "dispatcher").Err(err).Send()
	}
}

// report sends demand to the leader, if there is one. It reports whether the
// leader asks for all recent arrivals.
func (d *Demander) report(ctx context.Context, demand buckthorndyke.DemandReport) bool {
	if d.address == "" && !d.search(ctx) {
		d.handleNoLeader(ctx)
		return false
	}
	reply, err := d.sendReport(ctx, demand)
	if err != nil || !reply.Leading {
		d.logger.Info().EmbedObject(reporter.EventDependencyLost).Str("dependency", "leader").
			Str("address", d.address).Err(err).Send()
		d.address = ""
		d.handleNoLeader(ctx)
		return false
	}
	if err := d.source.HandleReply(ctx, reply); err != nil {
		d.logger.Warn().EmbedObject(reporter.EventDependencyLost).Str("dependency", "dispatcher").Err(err).Send()
		return false
	}
	now := d.clock.Now()
	if reply.FullSpeedLoads > 0 && reply.FullSpeedLoads != d.fullSpeedLoads {
		d.fullSpeedLoads = reply.FullSpeedLoads
		if d.replyFeeds.FullSpeedLoads.Publish(ctx, reply.FullSpeedLoads) != nil {
			return false
		}
	}
	if reply.ShouldCampaign && d.losses.Publish(ctx, now) != nil {
		return false
	}
	list := reply.List.SeenVersion(now)
	list.Change = reply.ListChange
	if d.replyFeeds.Lists.Publish(ctx, list) != nil || d.replyFeeds.Routings.Publish(ctx, reply.Routing.SeenVersion(now)) != nil {
		return false
	}
	return reply.WantRecentArrivals
}

// search looks for the leader, unless that was done just now.
func (d *Demander) search(ctx context.Context) bool {
	now := d.clock.Now()
	if d.searchedAt > 0 && now < d.searchedAt+searchInterval {
		return false
	}
	d.searchedAt = now
	address, ok, err := d.election.Leader(ctx)
	if err != nil {
		d.searchedAt += outageDelay
	}
	if err != nil || !ok {
		d.logger.Info().EmbedObject(reporter.EventDependencyLost).Str("dependency", "leader").Err(err).Send()
		return false
	}
	d.address = address
	d.logger.Info().EmbedObject(reporter.EventLeaderFound).Str("address", address).Send()
	return true
}

// ask sends demand to the leader and returns its answer.
func (d *Demander) sendReport(ctx context.Context, demand buckthorndyke.DemandReport) (buckthorndyke.DemandReply, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout.Duration())
	defer cancel()
	return d.leaders.Report(ctx, d.address, d.self, demand)
}
