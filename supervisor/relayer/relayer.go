// Package relayer is the root of the supervisor tree of an entry VM that relays
// requests to backend servers on a platform with a metadata store.
package relayer

import (
	"context"
	"net/http"
	"slices"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/starter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/campaigner"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/demander"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/dispatcher"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/entrance"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/keeper"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/loader"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/sharer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/teller"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/watcher"
)

// drainWaitDivisor divides the drain limit: for that part of it, requests may still
// wait for a server.
const drainWaitDivisor = 2

// Platform holds the external services that the tree uses.
type Platform struct {
	CrashPeers buckthorndyke.CrashPeers
	Directory  buckthorndyke.Directory
	// Election is used only by the campaigner, Observer only by the demander.
	Election buckthorndyke.Election
	Leaders  buckthorndyke.LeaderClient
	// Lists has other VMs' copies of large lists of servers.
	Lists buckthorndyke.ListSource
	// Memory is the account of the memory for requests and responses.
	Memory buckthorndyke.MemoryAccount
	// Meter records the requests that wait, what callers use of their allotments, orders and the choice
	// of servers.
	Meter    buckthorndyke.Meter
	Observer buckthorndyke.Election
	Pool     buckthorndyke.BackendPool
	// Quarantines keeps the quarantines.
	Quarantines buckthorndyke.QuarantineStore
}

// Settings are the tree's limits.
type Settings struct {
	// Allotments says by how much requests may exceed callers' allotments.
	Allotments buckthorndyke.AllotmentBounds
	// ArrivalOrder is set if waiting requests are served in the order of their arrival.
	ArrivalOrder bool
	// ChangeLimit is the time within which a changed configuration has to be in force.
	ChangeLimit buckthorndyke.Millis
	// IgnoreLongPrompts is set if long prompts are sent with the urgency of short ones.
	IgnoreLongPrompts bool
	// ChecksFencingToken is set if the runners refuse orders with an outdated fencing
	// token.
	ChecksFencingToken bool
	DrainLimit         buckthorndyke.Millis
	// EarlyLoads is set if a load may be ordered behind an accepted unload that no report
	// shows yet.
	EarlyLoads bool
	// FullSpeedLoads is the number of concurrent loads that the weight store serves at
	// full speed.
	FullSpeedLoads int
	// Grant is how long a leader's grant lasts without a renewal.
	Grant buckthorndyke.Millis
	// Lease is the minimum time between the orders of two successive leaders.
	Lease buckthorndyke.Millis
	// LeaveLimit is the time within which a leaving server stops getting new requests.
	LeaveLimit buckthorndyke.Millis
	RetryBurst int
	// Seeds are the addresses of some other VMs.
	Seeds []string
	// Standby is set if the VM takes the lead only when no other VM does.
	Standby bool
}

// Tree is the supervisor tree of one entry VM. The tasks of its base branch follow the
// platform, select servers and, on the leader, send orders. Its front branch accepts
// client connections and stops first.
type Tree struct {
	base, front *starter.Branch
	dispatcher  *dispatcher.Dispatcher
	drainLimit  buckthorndyke.Millis
	lists       *mailer.Feed[buckthorndyke.Backends]
	loader      *loader.Loader
	logger      zerolog.Logger
	routings    *mailer.Feed[buckthorndyke.Routing]
	teller      *teller.Teller
}

// New returns the tree of the VM self. It opens no sockets: AddBase and AddFront add
// the tasks that do.
func New(
	self buckthorndyke.Self, platform Platform, s Settings, clock buckthorndyke.Clock, logger zerolog.Logger,
) *Tree {
	t := &Tree{
		drainLimit: s.DrainLimit,
		lists:      mailer.NewFeed[buckthorndyke.Backends](),
		logger:     logger,
		routings:   mailer.NewFeed[buckthorndyke.Routing](),
	}
	terms := mailer.NewFeed[buckthorndyke.Term]()
	losses, found, fullSpeedLoads := mailer.NewFeed[buckthorndyke.Millis](), mailer.NewFeed[buckthorndyke.Millis](), mailer.NewFeed[int]()
	lists, routings := newWatchFeeds(terms), newWatchFeeds(terms)
	refreshes, confirmations := mailer.NewFeed[buckthorndyke.Millis](), mailer.NewFeed[buckthorndyke.Millis]()
	options := []dispatcher.Option{
		dispatcher.WithAllotmentBounds(s.Allotments), dispatcher.WithConfirmations(routings.Seen, routings.Notices, confirmations),
		dispatcher.WithDomain(self.Domain), dispatcher.WithLogger(logger), dispatcher.WithMemory(platform.Memory),
		dispatcher.WithMeter(platform.Meter), dispatcher.WithRetryBurst(s.RetryBurst),
	}
	if s.ArrivalOrder {
		options = append(options, dispatcher.WithArrivalOrder())
	}
	if s.IgnoreLongPrompts {
		options = append(options, dispatcher.WithLongPromptsIgnored())
	}
	t.dispatcher = dispatcher.New(platform.Pool, t.routings, t.lists, clock, options...)
	t.loader = loader.New(self, platform.Pool, platform.Leaders,
		loader.Feeds{FullSpeedLoads: fullSpeedLoads, Lists: t.lists, Routings: t.routings, SeenList: lists.Seen, SeenRouting: routings.Seen, Terms: terms},
		s.Lease, clock,
		loader.WithFullSpeedLoads(s.FullSpeedLoads), loader.WithFencingTokenChecks(s.ChecksFencingToken),
		loader.WithEarlyLoads(s.EarlyLoads), loader.WithLogger(logger), loader.WithAllotmentBounds(s.Allotments),
		loader.WithMeter(platform.Meter))
	t.teller = teller.New(t.routings, t.lists, refreshes, clock)
	t.base = starter.NewBranch("base", s.DrainLimit, logger,
		t.routings, t.lists, terms, losses, found, fullSpeedLoads, refreshes, confirmations, lists.Seen, lists.Notices, routings.Seen, routings.Notices, t.dispatcher, t.loader, t.teller,
		watcher.NewRoutings(platform.Directory, t.routings, routings, s.ChangeLimit, clock, logger,
			watcher.WithConfirmations(confirmations)),
		watcher.NewBackends(platform.Directory, t.lists, lists, s.LeaveLimit, clock, logger,
			watcher.WithListSource(platform.Lists), watcher.WithRefreshes(refreshes)),
		campaigner.New(platform.Election, s.Grant, losses, terms, clock, logger, campaigner.WithFound(found), campaigner.WithStandby(s.Standby)),
		demander.New(self.VM, t.dispatcher, platform.Observer, platform.Leaders, losses, lists.Seen,
			demander.ReplyFeeds{Found: found, FullSpeedLoads: fullSpeedLoads, Lists: lists.Notices, Routings: routings.Notices}, clock, logger,
			demander.WithIncarnation(self.Incarnation)),
		keeper.New(platform.Quarantines, t.dispatcher, terms, clock, logger),
		sharer.New(platform.CrashPeers, t.dispatcher, slices.DeleteFunc(slices.Clone(s.Seeds), func(a string) bool { return a == self.PeerAddress }), clock, logger),
	)
	t.front = starter.NewBranch("front", s.DrainLimit, logger)
	return t
}

// newWatchFeeds returns the feeds of a watcher that subscribes to terms.
func newWatchFeeds(terms *mailer.Feed[buckthorndyke.Term]) watcher.Feeds {
	return watcher.Feeds{
		Notices: mailer.NewFeed[buckthorndyke.SeenVersion](), Seen: mailer.NewFeed[buckthorndyke.SeenVersion](), Terms: terms,
	}
}

// AddBase adds tasks that run until all requests are done.
func (t *Tree) AddBase(tasks ...suture.Service) {
	for _, task := range tasks {
		t.base.Add(task)
	}
}

// AddFront adds the entrance, which passes requests to handler.
func (t *Tree) AddFront(at entrance.Addresses, handler http.Handler, clock buckthorndyke.Clock) {
	t.front.Add(entrance.New(at, handler, t.routings, t.lists, t.drainLimit, clock, t.logger))
}

// DirectoryService returns the handler of other entry VMs' calls for this VM's copy of
// the directory.
func (t *Tree) DirectoryService() *teller.Service { return teller.NewService(t.teller, t.dispatcher) }

// LeaderService returns the handler of the calls to the leader.
func (t *Tree) LeaderService() *loader.Service { return loader.NewService(t.loader) }

// Relay returns the relay that forwards requests to servers.
func (t *Tree) Relay() buckthorndyke.Relay { return t.dispatcher }

// Serve implements suture.Service. When ctx ends it stops within the drain limit,
// without interrupting requests that can be served until then.
func (t *Tree) Serve(ctx context.Context) error {
	t.base.Start(ctx)
	t.front.Start(ctx)
	<-ctx.Done()
	t.logger.Info().EmbedObject(reporter.EventDrainBegun).Send()
	// Requests that wait for a server get their responses through the front branch.
	schedule := entrance.NewSchedule(t.drainLimit)
	t.logStep("end-waiting", t.dispatcher.Drain(context.WithoutCancel(ctx), dispatcher.DrainSchedule{
		End: schedule.End, EstimateUntil: schedule.AcceptUntil, WaitUntil: t.drainLimit / drainWaitDivisor,
	}))
	t.logStep("close-front", t.front.Stop())
	t.logStep("end-base", t.base.Stop())
	t.logger.Info().EmbedObject(reporter.EventDrainEnded).Send()
	return ctx.Err()
}

// logStep logs the end of one step of a drain.
func (t *Tree) logStep(step string, err error) {
	t.logger.Info().EmbedObject(reporter.EventDrainStep).Str("step", step).Err(err).Send()
}
