package supervisor

import (
	"context"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/arbiter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/starter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/claimer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/follower"
	"github.com/buckthorndyke/buckthorndyke/supervisor/gatekeeper"
	"github.com/buckthorndyke/buckthorndyke/supervisor/owner"
	"github.com/buckthorndyke/buckthorndyke/supervisor/planner"
	"github.com/buckthorndyke/buckthorndyke/supervisor/prober"
	"github.com/buckthorndyke/buckthorndyke/supervisor/proposer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/router"
)

// defaultDrainLimit is the default time limit for a planned stop.
const defaultDrainLimit = 30 * buckthorndyke.Second

// Tree is the supervisor tree of one entry VM. It has three branches, which start in
// this order and stop in reverse: base follows the log and the other members, work owns
// runners and serves requests, and front accepts callers' connections.
type Tree struct {
	base, front, work *starter.Branch
	drainLimit        buckthorndyke.Millis
	drains            *mailer.Mailbox[struct{}]
	follower          *follower.Follower
	logger            zerolog.Logger
	owner             *owner.Owner
	peer              buckthorndyke.Peer
	prober            *prober.Prober
	proposer          *proposer.Proposer
	router            *router.Router
}

// Option configures a Tree.
type Option func(*config)

type config struct {
	claimer    []claimer.Option
	drainLimit buckthorndyke.Millis
	follower   []follower.Option
	gatekeeper []gatekeeper.Option
	logger     zerolog.Logger
	owner      []owner.Option
	planner    []planner.Option
	prober     []prober.Option
	proposer   []proposer.Option
	router     []router.Option
}

// WithClaimer configures the claimer.
func WithClaimer(opts ...claimer.Option) Option {
	return func(c *config) { c.claimer = append(c.claimer, opts...) }
}

// WithDrainLimit sets the time limit for a planned stop.
func WithDrainLimit(d buckthorndyke.Millis) Option {
	return func(c *config) { c.drainLimit = d }
}

// WithFollower configures the follower.
func WithFollower(opts ...follower.Option) Option {
	return func(c *config) { c.follower = append(c.follower, opts...) }
}

// WithGatekeeper configures the gatekeeper, which is the load gate of this VM.
func WithGatekeeper(opts ...gatekeeper.Option) Option {
	return func(c *config) { c.gatekeeper = append(c.gatekeeper, opts...) }
}

// WithLogger sets the logger for the tree's events.
func WithLogger(l zerolog.Logger) Option {
	return func(c *config) { c.logger = l }
}

// WithOwner configures the task that owns runners.
func WithOwner(opts ...owner.Option) Option {
	return func(c *config) { c.owner = append(c.owner, opts...) }
}

// WithPlanner configures the planner.
func WithPlanner(opts ...planner.Option) Option {
	return func(c *config) { c.planner = append(c.planner, opts...) }
}

// WithProber configures the prober.
func WithProber(opts ...prober.Option) Option {
	return func(c *config) { c.prober = append(c.prober, opts...) }
}

// WithProposer configures the proposer.
func WithProposer(opts ...proposer.Option) Option {
	return func(c *config) { c.proposer = append(c.proposer, opts...) }
}

// WithRouter configures the router.
func WithRouter(opts ...router.Option) Option {
	return func(c *config) { c.router = append(c.router, opts...) }
}

// New returns the tree of the entry VM that self describes. Its own tasks listen on no
// socket; AddFront and AddWork add the tasks that do.
func New(
	self buckthorndyke.Self, platform Platform, a *arbiter.Arbiter, encoder buckthorndyke.Encoder,
	clock buckthorndyke.Clock, opts ...Option,
) *Tree {
	cfg := config{drainLimit: defaultDrainLimit, logger: zerolog.Nop()}
	for _, opt := range opts {
		opt(&cfg)
	}
	t := &Tree{
		drainLimit: cfg.drainLimit,
		drains:     mailer.NewMailbox[struct{}](mailer.WithCapacity(1)),
		logger:     cfg.logger,
	}
	t.addBase(self, platform, a, encoder, clock, cfg)
	t.addWork(self, platform, clock, cfg)
	t.front = starter.NewBranch("front", cfg.drainLimit, cfg.logger)
	return t
}

// AddFront adds tasks that accept callers' connections. They stop first.
func (t *Tree) AddFront(tasks ...suture.Service) {
	for _, task := range tasks {
		t.front.Add(task)
	}
}

// AddWork adds tasks that serve peers and operators.
func (t *Tree) AddWork(tasks ...suture.Service) {
	for _, task := range tasks {
		t.work.Add(task)
	}
}

// Drain starts a planned stop.
func (t *Tree) Drain() {
	t.drains.TrySend(struct{}{})
}

// Follower returns the task that publishes the state of the control stream.
func (t *Tree) Follower() buckthorndyke.Follower { return t.follower }

// Gateway returns the task that serves callers' requests.
func (t *Tree) Gateway() buckthorndyke.Gateway { return t.router }

// Peer returns the implementation of buckthorndyke.Peer that serves this VM's peers.
func (t *Tree) Peer() buckthorndyke.Peer { return t.peer }

// Proposer returns the task that appends proposals.
func (t *Tree) Proposer() buckthorndyke.Proposer { return t.proposer }

// Prober returns the task that reports which members are alive.
func (t *Tree) Prober() *prober.Prober { return t.prober }

// Serve implements suture.Service. It runs until ctx ends, Drain is called or the
// platform reclaims the VM, and then stops within the drain limit, without interrupting
// requests if that suffices.
func (t *Tree) Serve(ctx context.Context) error {
	t.base.Start(ctx)
	t.work.Start(ctx)
	t.front.Start(ctx)
	t.awaitStop(ctx)
	t.stop(context.WithoutCancel(ctx))
	return ctx.Err()
}

// awaitStop waits until ctx ends, Drain is called or the platform reclaims the VM.
func (t *Tree) awaitStop(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	liveness := t.prober.Subscribe(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.drains.Receive():
			return
		case l := <-liveness:
			if l.Reclaimed {
				t.logger.Info().EmbedObject(reporter.EventReclaimed).Send()
				return
			}
		}
	}
}

// addBase creates the branch that follows the log and the other members.
func (t *Tree) addBase(
	self buckthorndyke.Self, platform Platform, a *arbiter.Arbiter, encoder buckthorndyke.Encoder,
	clock buckthorndyke.Clock, cfg config,
) {
	peers := follower.WithPeers(platform.Peers, entryAddresses(platform.VMList, self))
	followerOptions := append([]follower.Option{follower.WithSelf(self), peers}, cfg.follower...)
	t.follower = follower.New(platform.Log, a, encoder, clock, followerOptions...)
	t.proposer = proposer.New(platform.Log, encoder, t.follower, self, clock, cfg.proposer...)
	t.prober = prober.New(platform.Peers, platform.VMList, t.proposer, t.follower, self, clock, cfg.prober...)
	plannerOptions := append([]planner.Option{planner.WithLiveness(t.prober)}, cfg.planner...)
	p := planner.New(t.follower, t.proposer, self, clock, plannerOptions...)
	t.base = starter.NewBranch("base", cfg.drainLimit, cfg.logger, t.follower, t.prober, p)
}

// addWork creates the branch that owns runners and serves requests.
func (t *Tree) addWork(self buckthorndyke.Self, platform Platform, clock buckthorndyke.Clock, cfg config) {
	gate := gatekeeper.New(clock, cfg.gatekeeper...)
	gateClient := gatekeeper.NewClient(self, t.follower, t.prober, platform.Peers, gate, clock)
	ownerOptions := append([]owner.Option{owner.WithEventHook(reporter.SupervisorHook(cfg.logger))}, cfg.owner...)
	t.owner = owner.New(self, t.follower, t.proposer, t.prober, platform.VMList, platform.Engines,
		platform.Peers, gateClient, clock, ownerOptions...)
	claims := claimer.New(self, t.follower, platform.Log, platform.Peers, clock, cfg.claimer...)
	t.peer = &localPeer{ClaimStore: claims, LoadGate: gate, Responder: t.prober, Successor: t.owner, TicketIssuer: t.owner}
	routerOptions := append([]router.Option{router.WithLocalPeer(self.VM, t.peer)}, cfg.router...)
	t.router = router.New(self, t.follower, t.proposer, platform.Peers, platform.Engines, platform.Service,
		claims, platform.VMList, clock, routerOptions...)
	t.work = starter.NewBranch("work", cfg.drainLimit, cfg.logger, gate, gateClient, t.owner, claims, t.router)
}

// stop drains and stops the branches in order. What it cannot do in time is left to the
// other VMs, as after a failure.
func (t *Tree) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.drainLimit.Duration())
	defer cancel()
	t.logger.Info().EmbedObject(reporter.EventDrainBegun).Send()
	t.logStep("mark-leaving", t.prober.Drain(ctx))
	t.logStep("close-front", t.front.Stop())
	t.logStep("hand-over", t.owner.Drain(ctx))
	t.logStep("end-work", t.work.Stop())
	t.logStep("leave", t.prober.Leave(ctx))
	t.logStep("end-base", t.base.Stop())
	t.logger.Info().EmbedObject(reporter.EventDrainEnded).Send()
}

// logStep logs the result of one step of stop.
func (t *Tree) logStep(step string, err error) {
	t.logger.Info().EmbedObject(reporter.EventDrainStep).Str("step", step).Err(err).Send()
}

// entryAddresses returns a function that reads the addresses of the other entry VMs from
// the VM list.
func entryAddresses(list buckthorndyke.VMList, self buckthorndyke.Self) follower.Addresses {
	return func(ctx context.Context) []string {
		vms, err := list.List(ctx)
		if err != nil {
			return nil
		}
		var addresses []string
		for _, vm := range vms {
			if vm.Role == buckthorndyke.RoleEntry && vm.ID != self.VM {
				addresses = append(addresses, vm.Address)
			}
		}
		return addresses
	}
}
