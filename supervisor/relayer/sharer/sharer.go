// Package sharer exchanges evidence of crashes with other entry VMs while no leader
// passes it on.
package sharer

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// interval is the time between two rounds of exchanges.
	interval = buckthorndyke.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 300 * buckthorndyke.Millisecond
)

// Sharer is the task that exchanges the evidence.
type Sharer struct {
	// addresses are those of the VMs to exchange evidence with: all of them, or one after
	// the other while the VM has nothing to tell, so that these get few calls in a large
	// fleet.
	addresses []string
	clock     buckthorndyke.Clock
	logger    zerolog.Logger
	// next is the number of rounds so far.
	next   int
	peers  buckthorndyke.CrashPeers
	source buckthorndyke.CrashSource
	// unreachable is set if no VM responded in the last round.
	unreachable bool
}

// New returns a sharer of the evidence in source with the VMs at addresses.
func New(
	peers buckthorndyke.CrashPeers, source buckthorndyke.CrashSource, addresses []string, clock buckthorndyke.Clock,
	logger zerolog.Logger,
) *Sharer {
	return &Sharer{addresses: addresses, clock: clock, logger: logger, peers: peers, source: source}
}

// Serve implements suture.Service.
func (s *Sharer) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		evidence, hasLeader, err := s.source.CrashEvidence(ctx)
		if err != nil {
			return err
		}
		if !hasLeader {
			s.share(ctx, evidence)
		}
		select {
		case <-ctx.Done():
		case <-s.clock.After(interval):
		}
	}
	return ctx.Err()
}

// share exchanges evidence with all VMs at the known addresses.
func (s *Sharer) share(ctx context.Context, evidence buckthorndyke.CrashEvidence) {
	var failed error
	responses := 0
	for _, address := range s.round(evidence) {
		theirs, err := s.exchange(ctx, address, evidence)
		if err != nil {
			failed = err
			continue
		}
		responses++
		if err := s.source.HandleCrashEvidence(ctx, theirs); err != nil {
			return
		}
	}
	if unreachable := responses == 0 && failed != nil; unreachable != s.unreachable {
		s.unreachable = unreachable
		event := reporter.EventDependencyBack
		if unreachable {
			event = reporter.EventDependencyLost
		}
		s.logger.Info().EmbedObject(event).Str("dependency", "crash-peers").Err(failed).Send()
	}
}

// round returns the addresses of the VMs to exchange the evidence with now.
func (s *Sharer) round(evidence buckthorndyke.CrashEvidence) []string {
	if !evidence.Empty() || len(s.addresses) == 0 {
		return s.addresses
	}
	s.next++
	return s.addresses[s.next%len(s.addresses):][:1]
}

// exchange exchanges evidence with one VM.
func (s *Sharer) exchange(ctx context.Context, address string, evidence buckthorndyke.CrashEvidence) (buckthorndyke.CrashEvidence, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	return s.peers.ShareCrashes(ctx, address, evidence)
}
