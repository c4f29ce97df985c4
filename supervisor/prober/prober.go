// Package prober keeps this VM a member, probes other members, and publishes
// which of them are suspected.
package prober

import (
	"context"

	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/detector"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// Default options.
const (
	defaultInterval     = buckthorndyke.Second
	defaultListInterval = 5 * buckthorndyke.Second
	defaultStaleness    = 30 * buckthorndyke.Second
	defaultTimeout      = 800 * buckthorndyke.Millisecond
	// reportMaxIntervals is how long a peer's report of suspects counts, in probe
	// intervals.
	reportMaxIntervals = 5
)

// Prober implements buckthorndyke.LivenessReporter, buckthorndyke.Readiness and
// buckthorndyke.Responder. It supervises the task that probes members and the feed that
// publishes their liveness.
type Prober struct {
	feed *mailer.Feed[buckthorndyke.Liveness]
	task *task
}

// Option configures a Prober.
type Option func(*config)

type config struct {
	detector       []detector.Option
	fanOut         int
	interval       buckthorndyke.Millis
	listInterval   buckthorndyke.Millis
	stalenessLimit buckthorndyke.Millis
	timeout        buckthorndyke.Millis
}

// WithDetector configures the detector, which decides when a member is suspected.
func WithDetector(opts ...detector.Option) Option {
	return func(c *config) { c.detector = opts }
}

// WithFanOut sets how many members probe each member.
func WithFanOut(n int) Option {
	return func(c *config) { c.fanOut = n }
}

// WithInterval sets the time between two probes of a member, and the timeout of one
// probe.
func WithInterval(interval, timeout buckthorndyke.Millis) Option {
	return func(c *config) { c.interval, c.timeout = interval, timeout }
}

// WithListInterval sets the time between two reads of the VM list.
func WithListInterval(d buckthorndyke.Millis) Option {
	return func(c *config) { c.listInterval = d }
}

// WithStalenessLimit sets how long the VM may be out of contact with the log and all
// peers before it is no longer ready.
func WithStalenessLimit(d buckthorndyke.Millis) Option {
	return func(c *config) { c.stalenessLimit = d }
}

// New returns a prober for the VM that self describes.
func New(
	peers buckthorndyke.Peers, list buckthorndyke.VMList, proposer buckthorndyke.Proposer,
	follower buckthorndyke.Follower, self buckthorndyke.Self, clock buckthorndyke.Clock, opts ...Option,
) *Prober {
	cfg := config{
		fanOut:         detector.DefaultFanOut,
		interval:       defaultInterval,
		listInterval:   defaultListInterval,
		stalenessLimit: defaultStaleness,
		timeout:        defaultTimeout,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	cfg.detector = append([]detector.Option{detector.WithReportLifetime(reportMaxIntervals * cfg.interval)}, cfg.detector...)
	feed := mailer.NewFeed[buckthorndyke.Liveness]()
	t := newTask(cfg, clock, feed, follower, list, peers, proposer, self)
	return &Prober{feed: feed, task: t}
}

// Drain marks this VM as leaving, so that it takes on no new work. It returns once the
// proposal has a result or ctx ends. The VM does not join again.
func (p *Prober) Drain(ctx context.Context) error {
	return p.task.leave(ctx, true)
}

// Leave removes this VM from the members. It returns once the proposal has a result or
// ctx ends. The VM does not join again.
func (p *Prober) Leave(ctx context.Context) error {
	return p.task.leave(ctx, false)
}

// Probe implements buckthorndyke.Responder.
func (p *Prober) Probe(ctx context.Context, r buckthorndyke.ProbeRequest) (buckthorndyke.ProbeReply, error) {
	return mailer.Ask(ctx, p.task.peerProbes, func(reply mailer.Reply[buckthorndyke.ProbeReply]) peerProbe {
		return peerProbe{reply: reply, request: r}
	})
}

// Ready implements buckthorndyke.Readiness.
func (p *Prober) Ready(ctx context.Context) error {
	v, err := p.task.view(ctx)
	if err != nil {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun, "the prober did not reply in time")
	}
	return v.ready
}

// RulesVersions implements buckthorndyke.FleetReporter.
func (p *Prober) RulesVersions(ctx context.Context) buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion] {
	v, err := p.task.view(ctx)
	if err != nil {
		self := p.task.self.VM
		versions := buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion]{}
		return versions.With(self, buckthorndyke.VMRulesVersion{Err: err, VM: self})
	}
	return p.task.askVersions(ctx, v.state)
}

// Serve implements suture.Service.
func (p *Prober) Serve(ctx context.Context) error {
	s := suture.NewSimple("prober")
	s.Add(p.feed)
	s.Add(p.task)
	return s.Serve(ctx)
}

// Snapshot implements buckthorndyke.Responder.
func (p *Prober) Snapshot(ctx context.Context) (buckthorndyke.State, error) {
	v, err := p.task.view(ctx)
	return v.state, err
}

// String implements fmt.Stringer.
func (p *Prober) String() string { return "prober" }

// Subscribe implements buckthorndyke.LivenessReporter.
func (p *Prober) Subscribe(ctx context.Context) <-chan buckthorndyke.Liveness {
	return p.feed.Subscribe(ctx)
}
