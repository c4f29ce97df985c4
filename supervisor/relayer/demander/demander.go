// Package demander reports the VM's demand for models to the leader and publishes
// what the leader replies.
package demander

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// idleInterval is the time between two reports while no request waits.
	idleInterval = 800 * buckthorndyke.Millisecond
	// idleIntervalPerVM and waitingIntervalPerVM bound the reports that the leader of a
	// large fleet gets: the intervals are at least that multiple of the number of VMs.
	idleIntervalPerVM    = 5 * buckthorndyke.Millisecond
	waitingIntervalPerVM = buckthorndyke.Millisecond
	// maxInterval bounds the time between two reports, which is shorter than reports are
	// valid.
	maxInterval = 1600 * buckthorndyke.Millisecond
	// waitingInterval is the time between two reports while requests wait.
	waitingInterval = 120 * buckthorndyke.Millisecond
	// minInterval is the shortest time between two reports.
	minInterval = 15 * buckthorndyke.Millisecond
	// reportTimeout bounds one report. The leader replies well before it.
	reportTimeout = 700 * buckthorndyke.Millisecond
	// outageDelay is the extra time until the next search for the leader if the
	// election does not respond.
	outageDelay = buckthorndyke.Second
	// searchInterval is the shortest time between two searches for the leader.
	searchInterval = 500 * buckthorndyke.Millisecond
)

// Demander is the task that sends reports to the leader.
type Demander struct {
	// address is the address of the leader, or empty.
	address  string
	clock    buckthorndyke.Clock
	election buckthorndyke.Election
	// found is set once the leader at address has replied.
	found bool
	// fullSpeedLoads is the number of concurrent loads from the weight store in the
	// leader's last reply, or 0.
	fullSpeedLoads int
	// incarnation is that of the VM's process.
	incarnation buckthorndyke.Incarnation
	leaders     buckthorndyke.LeaderClient
	logger      zerolog.Logger
	// losses gets the instants at which no leader has replied, or at which the leader
	// has asked the VM to take part in the election.
	losses     *mailer.Feed[buckthorndyke.Millis]
	replyFeeds ReplyFeeds
	// searchedAt is the instant of the last search for the leader.
	searchedAt buckthorndyke.Millis
	// seen has the version of the server list that the VM has read.
	seen   *mailer.Feed[buckthorndyke.SeenVersion]
	self   buckthorndyke.VMID
	source buckthorndyke.DemandSource
	// vms is the number of VMs that report to the leader, or 0 if unknown.
	vms int
}

// ReplyFeeds are the feeds that the leader's replies are published to.
type ReplyFeeds struct {
	// Found gets the instants at which a leader has replied after a search for it.
	Found *mailer.Feed[buckthorndyke.Millis]
	// FullSpeedLoads gets the number of concurrent loads that the weight store serves
	// at full speed, as the leader has learned.
	FullSpeedLoads *mailer.Feed[int]
	// Lists and Routings get the versions of the platform's records that the leader
	// has read.
	Lists    *mailer.Feed[buckthorndyke.SeenVersion]
	Routings *mailer.Feed[buckthorndyke.SeenVersion]
}

// Option configures a Demander.
type Option func(*Demander)

// WithIncarnation sets the incarnation of the VM's process.
func WithIncarnation(i buckthorndyke.Incarnation) Option {
	return func(d *Demander) { d.incarnation = i }
}

// New returns a demander for the VM self. It publishes to losses when no leader
// replies or when the leader asks the VM to take part in the election. It follows
// seen for the version of the server list that the VM has.
func New(
	self buckthorndyke.VMID, source buckthorndyke.DemandSource, election buckthorndyke.Election, leaders buckthorndyke.LeaderClient,
	losses *mailer.Feed[buckthorndyke.Millis], seen *mailer.Feed[buckthorndyke.SeenVersion], replyFeeds ReplyFeeds, clock buckthorndyke.Clock, logger zerolog.Logger,
	opts ...Option,
) *Demander {
	d := &Demander{
		clock: clock, election: election, leaders: leaders, logger: logger, losses: losses, replyFeeds: replyFeeds, seen: seen,
		self: self, source: source,
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
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
		if demand.Number > 0 {
			demand.Incarnation = d.incarnation
		}
		if recent = d.report(ctx, demand); recent {
			continue
		}
		wait := intervalOf(demand.Waiting, d.vms)
		select {
		case <-ctx.Done():
		case <-d.source.WorkWaiting():
			// Requests that arrive together are reported together.
			<-d.clock.After(minInterval)
		case <-d.clock.After(wait):
		}
	}
	return ctx.Err()
}

// intervalOf returns the time between two reports in a fleet of the given number of VMs.
func intervalOf(waiting bool, vms int) buckthorndyke.Millis {
	n := buckthorndyke.Millis(vms)
	if waiting {
		return min(max(waitingInterval, n*waitingIntervalPerVM), maxInterval)
	}
	return min(max(idleInterval, n*idleIntervalPerVM), maxInterval)
}

// handleNoLeader reports to the source and the campaigner that no leader replies.
func (d *Demander) handleNoLeader(ctx context.Context) {
	if err := d.losses.Publish(ctx, d.clock.Now()); err != nil {
		return
	}
	if err := d.source.HandleNoLeader(ctx); err != nil && ctx.Err() == nil {
		d.logger.Warn().EmbedObject(reporter.EventDependencyLost).Str("dependency", "dispatcher").Err(err).Send()
	}
}

// report sends demand to the leader, if there is one, and publishes the reply. It
// reports whether the leader asks for all recent arrivals.
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
	if !d.found {
		d.found = true
		if d.replyFeeds.Found.Publish(ctx, now) != nil {
			return false
		}
	}
	d.vms = reply.ReportingVMs
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
	routing := reply.Routing.SeenVersion(now)
	routing.Leader, routing.ReportingVMs = d.address, reply.ReportingVMs
	if d.replyFeeds.Lists.Publish(ctx, list) != nil || d.replyFeeds.Routings.Publish(ctx, routing) != nil {
		return false
	}
	return reply.WantRecentArrivals
}

// search asks the election for the leader, unless it has done so just now. It reports
// whether there is one.
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
	d.address, d.found = address, false
	d.logger.Info().EmbedObject(reporter.EventLeaderFound).Str("address", address).Send()
	return true
}

// sendReport sends demand to the leader and returns the reply.
func (d *Demander) sendReport(ctx context.Context, demand buckthorndyke.DemandReport) (buckthorndyke.DemandReply, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout.Duration())
	defer cancel()
	return d.leaders.Report(ctx, d.address, d.self, demand)
}
