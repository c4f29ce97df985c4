// Package follower tails the control stream, applies its records and publishes the
// state.
package follower

import (
	"context"

	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/arbiter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// Defaults.
const (
	defaultCheckpointAge     = buckthorndyke.Hour
	defaultCheckpointRecords = 1000
	defaultReadTimeout       = 3 * buckthorndyke.Second
	defaultReadWait          = buckthorndyke.Second
	firstBackoff             = 100 * buckthorndyke.Millisecond
	maxBackoff               = 2 * buckthorndyke.Second
	backoffFactor            = 2
)

// Addresses returns the addresses of possible peers.
type Addresses func(ctx context.Context) []string

// Follower implements buckthorndyke.Follower. It supervises the task that tails the
// stream and the feed that distributes the updates to subscribers.
type Follower struct {
	feed *mailer.Feed[buckthorndyke.StateUpdate]
	tail *tail
}

// Option configures a Follower.
type Option func(*config)

type config struct {
	addresses         Addresses
	checkpointAge     buckthorndyke.Millis
	checkpointRecords buckthorndyke.Offset
	peers             buckthorndyke.Peers
	readTimeout       buckthorndyke.Millis
	readWait          buckthorndyke.Millis
	self              buckthorndyke.Self
}

// WithCheckpoints sets the number of records after the last checkpoint, and the age of
// that checkpoint, at which the next one is due. Both must be well below the log's
// retention.
func WithCheckpoints(records int, age buckthorndyke.Millis) Option {
	return func(c *config) { c.checkpointRecords, c.checkpointAge = buckthorndyke.Offset(records), age }
}

// WithPeers lets a follower fetch the state from a peer if it cannot get it from the
// log: while the log is down, or if the log has neither all records nor a checkpoint.
func WithPeers(peers buckthorndyke.Peers, addresses Addresses) Option {
	return func(c *config) { c.peers, c.addresses = peers, addresses }
}

// WithReadTimeout sets the time limit of an append, and of a read beyond the time that it
// waits for a record.
func WithReadTimeout(d buckthorndyke.Millis) Option {
	return func(c *config) { c.readTimeout = d }
}

// WithReadWait sets how long a read at the tail waits for a record. The leases of runners'
// owners are renewed once per read, so a lease must be several times longer than d.
func WithReadWait(d buckthorndyke.Millis) Option {
	return func(c *config) { c.readWait = d }
}

// WithSelf sets the identity of this VM. Without it the follower appends no
// checkpoints.
func WithSelf(self buckthorndyke.Self) Option {
	return func(c *config) { c.self = self }
}

// New returns a follower that tails log while its Serve runs.
func New(
	log buckthorndyke.Log, a *arbiter.Arbiter, encoder buckthorndyke.Encoder, clock buckthorndyke.Clock, opts ...Option,
) *Follower {
	cfg := config{
		checkpointAge:     defaultCheckpointAge,
		checkpointRecords: defaultCheckpointRecords,
		readTimeout:       defaultReadTimeout,
		readWait:          defaultReadWait,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	feed := mailer.NewFeed[buckthorndyke.StateUpdate]()
	return &Follower{feed: feed, tail: newTail(cfg, log, a, encoder, clock, feed)}
}

// Serve implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	s := suture.NewSimple("follower")
	s.Add(f.feed)
	s.Add(f.tail)
	return s.Serve(ctx)
}

// String implements fmt.Stringer.
func (f *Follower) String() string { return "follower" }

// Subscribe implements buckthorndyke.Follower.
func (f *Follower) Subscribe(ctx context.Context) <-chan buckthorndyke.StateUpdate {
	return f.feed.Subscribe(ctx)
}
