package follower

import (
	"cmp"
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

const (
	// probeLimit bounds the peers that are probed.
	probeLimit = 16
	// probeTimeout bounds the time of one probe.
	probeTimeout = buckthorndyke.Second
	// snapshotTimeout bounds the transfer of a state.
	snapshotTimeout = 10 * buckthorndyke.Second
)

// peerSnapshot is a state fetched from a peer, with what the probes of the peers have
// shown.
type peerSnapshot struct {
	generation int
	// highestOffset is the highest offset that a peer has reported.
	highestOffset buckthorndyke.Offset
	ok            bool
	// ready is set if at least one peer is ready. Otherwise all peers may be starting
	// up, and their states may be out of date.
	ready bool
	state buckthorndyke.State
}

// probeResult is the reply of the peer at address to a probe.
type probeResult struct {
	address string
	offset  buckthorndyke.Offset
	ready   bool
}

// handleSnapshot replaces the state with that of a peer if that is newer. While the log
// is down, the follower has caught up if a peer is ready and the state is as new as the
// highest offset that a peer has reported.
func (t *tail) handleSnapshot(s peerSnapshot) {
	if s.generation != t.generation {
		return
	}
	t.requesting = false
	if !s.ok || t.update.CaughtUp {
		return
	}
	if s.state.Offset > t.update.State.Offset {
		t.update.State = s.state
		t.checkpoints = t.checkpoints.withSeen(s.state.Offset, t.clock.Now())
	}
	t.scan = nil
	t.update.CaughtUp = t.update.LogDown && s.ready && t.update.State.Offset >= s.highestOffset
}

// requestSnapshot starts to fetch the state of a peer unless the follower has caught up
// or is already fetching one.
func (t *tail) requestSnapshot(ctx context.Context) {
	if t.requesting || t.cfg.peers == nil || t.update.CaughtUp {
		return
	}
	t.requesting = true
	generation := t.generation
	go func() {
		s := fetchSnapshot(ctx, t.cfg)
		s.generation = generation
		_ = t.snapshots.Send(ctx, s)
	}()
}

// fetchSnapshot returns the state of the peer with the highest offset among those whose
// snapshots can be fetched.
func fetchSnapshot(ctx context.Context, cfg config) peerSnapshot {
	peers := probeAll(ctx, cfg)
	ready := slices.ContainsFunc(peers, func(r probeResult) bool { return r.ready })
	slices.SortFunc(peers, func(a, b probeResult) int { return cmp.Compare(b.offset, a.offset) })
	for _, p := range peers {
		snapshotCtx, cancel := context.WithTimeout(ctx, snapshotTimeout.Duration())
		state, err := cfg.peers.At(p.address).Snapshot(snapshotCtx)
		cancel()
		if err == nil {
			return peerSnapshot{highestOffset: peers[0].offset, ok: true, ready: ready, state: state}
		}
	}
	return peerSnapshot{}
}

// probeAll probes up to probeLimit peers concurrently and returns the results of those
// that have a state.
func probeAll(ctx context.Context, cfg config) []probeResult {
	addresses := placer.Rank(string(cfg.self.VM), cfg.addresses(ctx))
	addresses = addresses[:min(len(addresses), probeLimit)]
	replies := make([]*probeResult, len(addresses))
	var group errgroup.Group
	for i, address := range addresses {
		group.Go(func() error {
			probeCtx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
			defer cancel()
			request := buckthorndyke.ProbeRequest{From: cfg.self.VM, Incarnation: cfg.self.Incarnation}
			reply, err := cfg.peers.At(address).Probe(probeCtx, request)
			if err == nil && reply.Offset != buckthorndyke.NoOffset {
				replies[i] = &probeResult{address: address, offset: reply.Offset, ready: reply.Ready}
			}
			return nil
		})
	}
	_ = group.Wait()
	var peers []probeResult
	for _, r := range replies {
		if r != nil {
			peers = append(peers, *r)
		}
	}
	return peers
}
