package bootstrapper

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// routingCallTimeout bounds a call that asks a VM for its copy of the configuration. Four
	// compressed copies of a thousand routes leave a link of 10 Mbit/s within 0.2 s.
	routingCallTimeout = 500 * buckthorndyke.Millisecond
	// routingRetryWait is the time until a VM that does not have the version yet is asked
	// again.
	routingRetryWait = 40 * buckthorndyke.Millisecond
	// routingTimeout bounds all calls for one copy. With the age of the leader's notice it
	// leaves time for a read of the platform's record within the limit for changes.
	routingTimeout = 1200 * buckthorndyke.Millisecond
)

// errNoRoot means that the VM knows no other one that may have a copy.
var errNoRoot = buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun, "no other VM may have a copy of the configuration")

// errNotYet means that other VMs respond and have no copy yet.
var errNotYet = buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun, "no other VM has the configuration yet")

// Routings gets copies of a large configuration from other entry VMs: from the leader, or
// from the VM that it sends them on to, and if that fails in the same way from a seed. It
// implements buckthorndyke.RoutingSource. Only one goroutine may use it.
type Routings struct {
	clock   buckthorndyke.Clock
	encoder buckthorndyke.RoutingEncoder
	logger  zerolog.Logger
	peers   buckthorndyke.RoutingPeers
	// roots are the seeds in the order in which they are asked, or empty on a seed: seeds that
	// ask each other would wait for each other.
	roots   []string
	self    string
	skipper buckthorndyke.RoutingSkipper
}

// NewRoutings returns a source for the VM with the peer address self. It tells skipper of
// the copies, so that their versions are not read again.
func NewRoutings(
	peers buckthorndyke.RoutingPeers, encoder buckthorndyke.RoutingEncoder, skipper buckthorndyke.RoutingSkipper,
	seeds []string, self string, clock buckthorndyke.Clock, logger zerolog.Logger,
) *Routings {
	r := &Routings{clock: clock, encoder: encoder, logger: logger, peers: peers, self: self, skipper: skipper}
	if !slices.Contains(seeds, self) {
		first := int(xxhash.Sum64String(self) % uint64(max(len(seeds), 1)))
		r.roots = append(slices.Clone(seeds[first:]), seeds[:first]...)
	}
	return r
}

// Routing implements buckthorndyke.RoutingSource.
func (r *Routings) Routing(ctx context.Context, notice buckthorndyke.SeenVersion) (buckthorndyke.Routing, error) {
	ctx, cancel := context.WithTimeout(ctx, routingTimeout.Duration())
	defer cancel()
	began := r.clock.Now()
	got, from, err := r.askRoots(ctx, notice)
	event := r.logger.Info().EmbedObject(reporter.EventRoutingCopied).Bool("known", err == nil).Str("from", from).
		Uint64("wanted", notice.VersionTag).Int64("ms", int64(r.clock.Now()-began))
	if err != nil {
		event.Err(err).Send()
		return buckthorndyke.Routing{}, err
	}
	if notice.At > 0 {
		event.Int64("notice-age-ms", int64(began-notice.At))
	}
	event.Int64("version", got.Version).Send()
	r.skipper.SkipRouting(got.Record)
	return got, nil
}

// askRoots asks one root after the other until one leads to a copy: first the leader, which
// has the version and has just responded, then the seeds. It also returns the address of the
// last VM that was asked.
func (r *Routings) askRoots(ctx context.Context, notice buckthorndyke.SeenVersion) (got buckthorndyke.Routing, from string, err error) {
	roots := r.roots
	// A seed is asked for a version of which it has no notice if the leader does not respond.
	isAsked := len(r.roots) == 0 && notice.At == 0
	if notice.Leader != "" && notice.Leader != r.self && !isAsked {
		roots = append([]string{notice.Leader}, roots...)
	}
	err = errNoRoot
	for _, root := range roots {
		got, from, err = r.askFrom(ctx, root, int64(notice.VersionTag))
		if err != nil && from != root && ctx.Err() == nil {
			// The root sends the VM on to another one than before.
			got, from, err = r.askFrom(ctx, root, int64(notice.VersionTag))
		}
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return got, from, err
}

// askFrom asks root and the VMs that it is sent on to. It also returns the address of the
// last one.
func (r *Routings) askFrom(ctx context.Context, root string, version int64) (buckthorndyke.Routing, string, error) {
	q := buckthorndyke.RoutingQuery{Address: r.self, Version: version}
	address := root
	for {
		reply, err := r.ask(ctx, address, q)
		switch {
		case err != nil:
			return buckthorndyke.Routing{}, address, err
		case reply.Ask != "":
			address = reply.Ask
			q.Hops++
		case len(reply.Encoded) > 0:
			got, err := r.encoder.DecodeRouting(reply.Encoded)
			if err == nil && got.Version < version {
				err = errOlder
			}
			return got, address, err
		default:
			select {
			case <-ctx.Done():
				return buckthorndyke.Routing{}, address, errNotYet
			case <-r.clock.After(routingRetryWait):
			}
		}
	}
}

// ask asks one VM.
func (r *Routings) ask(ctx context.Context, address string, q buckthorndyke.RoutingQuery) (buckthorndyke.RoutingCopy, error) {
	ctx, cancel := context.WithTimeout(ctx, routingCallTimeout.Duration())
	defer cancel()
	return r.peers.RoutingCopy(ctx, address, q)
}
