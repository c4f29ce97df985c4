// Package relayer is the root of the supervisor tree of an entry VM that relays
// requests on a platform with a metadata store.
package relayer

import (
	"context"
	"net/http"

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
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/loader"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/teller"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/watcher"
)

// waitParts is the part of the drain limit for which requests may still wait for
// a server.
const waitParts = 2

// Platform is what the tree needs from outside of its process.
type Platform struct {
	Directory buckthorndyke.Directory
	// Election is used by the campaigner alone, Observer by the demander.
	Election buckthorndyke.Election
	Leaders  buckthorndyke.LeaderClient
	Observer buckthorndyke.Election
	Pool     buckthorndyke.BackendPool
}

// Settings are the tree's limits.
type Settings struct {
	// AtOnce is the number of loads that the weight store allows at full speed.
	AtOnce int
	// ChangeLimit is the time in which a configuration has to be in force.
	ChangeLimit buckthorndyke.Millis
	// ChecksFence is set if the runners refuse orders with an old fencing number.
	ChecksFence bool
	DrainLimit  buckthorndyke.Millis
	// Grant is how long the platform's grant to lead lasts without a renewal.
	Grant buckthorndyke.Millis
	// Lease is the time between the orders of two leaders.
	Lease buckthorndyke.Millis
	// LeaveLimit is the time after which a leaving server gets no new work.
	LeaveLimit buckthorndyke.Millis
	// Reserve is set if the VM leads only if no other does.
	Reserve    bool
	RetryBurst int
}

// Tree is the supervisor tree of one entry VM. Its base follows the platform,
// gives orders and knows the servers; its front lets clients in. The front stops
// first.
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

// New returns the tree of the VM self. It opens no socket of its own; AddBase and
// SetFront add the tasks that do.
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
	t.dispatcher = dispatcher.New(platform.Pool, t.routings, t.lists, clock,
		dispatcher.WithDomain(self.Domain), dispatcher.WithLogger(logger), dispatcher.WithRetryBurst(s.RetryBurst))
	losses, atOnce := mailer.NewFeed[buckthorndyke.Millis](), mailer.NewFeed[int]()
	lists, routings := newWatchFeeds(terms), newWatchFeeds(terms)
	t.loader = loader.New(self, platform.Pool, platform.Leaders,
		loader.Feeds{AtOnce: atOnce, Lists: t.lists, Routings: t.routings, SeenList: lists.Seen, SeenRouting: routings.Seen, Terms: terms},
		s.Lease, clock,
		loader.WithAtOnce(s.AtOnce), loader.WithFenceChecks(s.ChecksFence), loader.WithLogger(logger))
	t.teller = teller.New(t.routings, t.lists, clock)
	t.base = starter.NewBranch("base", s.DrainLimit, logger,
		t.routings, t.lists, terms, losses, atOnce, lists.Seen, lists.Told, routings.Seen, routings.Told, t.dispatcher, t.loader, t.teller,
		watcher.NewRoutings(platform.Directory, t.routings, routings, s.ChangeLimit, clock, logger),
		watcher.NewBackends(platform.Directory, t.lists, lists, s.LeaveLimit, clock, logger),
		campaigner.New(platform.Election, s.Grant, losses, terms, clock, logger, campaigner.WithReserve(s.Reserve)),
		demander.New(self.VM, t.dispatcher, platform.Observer, platform.Leaders, losses, lists.Seen,
			demander.Told{AtOnce: atOnce, Lists: lists.Told, Routings: routings.Told}, clock, logger),
	)
	t.front = starter.NewBranch("front", s.DrainLimit, logger)
	return t
}

// newWatchFeeds returns the feeds of a watcher that follows terms.
func newWatchFeeds(terms *mailer.Feed[buckthorndyke.Term]) watcher.Feeds {
	return watcher.Feeds{
		Seen: mailer.NewFeed[buckthorndyke.SeenVersion](), Terms: terms, Told: mailer.NewFeed[buckthorndyke.SeenVersion](),
	}
}

// AddBase adds tasks that the tree needs for as long as it serves.
func (t *Tree) AddBase(tasks ...suture.Service) {
	for _, task := range tasks {
		t.base.Add(task)
	}
}

// AddFront adds the entrance, which hands requests to handler.
func (t *Tree) AddFront(at entrance.Addresses, handler http.Handler, clock buckthorndyke.Clock) {
	t.front.Add(entrance.New(at, handler, t.routings, t.lists, t.drainLimit, clock, t.logger))
}

// Leader returns the handler of the calls to the leading VM.
func (t *Tree) Leader() *loader.Service { return loader.NewService(t.loader) }

// Relay returns the task that takes requests to servers.
func (t *Tree) Relay() buckthorndyke.Relay { return t.dispatcher }

// Sibling returns the handler of the calls to any VM.
func (t *Tree) Sibling() *teller.Service { return teller.NewService(t.teller) }

// Serve implements suture.Service. It serves until ctx ends and then stops
// without cutting a request, within the drain limit.
func (t *Tree) Serve(ctx context.Context) error {
	t.base.Start(ctx)
	t.front.Start(ctx)
	<-ctx.Done()
	t.logger.Info().EmbedObject(reporter.EventDrainBegun).Send()
	// What waits for a server has to be answered while the front still serves.
	t.logStep("end-waiting", t.dispatcher.Drain(context.WithoutCancel(ctx), t.drainLimit/waitParts))
	t.logStep("close-front", t.front.Stop())
	t.logStep("end-base", t.base.Stop())
	t.logger.Info().EmbedObject(reporter.EventDrainEnded).Send()
	return ctx.Err()
}

// logStep logs the end of one step of a drain.
func (t *Tree) logStep(step string, err error) {
	t.logger.Info().EmbedObject(reporter.EventDrainStep).Str("step", step).Err(err).Send()
}
