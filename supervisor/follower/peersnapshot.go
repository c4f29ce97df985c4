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
	// askLimit bounds the peers that are asked for their state.
	probeLimit = 16
	// probeTimeout bounds the answer of one peer to a probe.
	probeTimeout = buckthorndyke.Second
	// snapshotTimeout bounds the transfer of a whole state.
	snapshotTimeout = 10 * buckthorndyke.Second
)

// offer is what the peers have in place of the log.
type peerSnapshot struct {
	generation int
	// known is the highest offset that a peer knows of.
	highestOffset buckthorndyke.Offset
	ok            bool
	// ready is set if a peer is ready, so that the peers do not all start at once.
	ready bool
	state buckthorndyke.State
}

// known is the offset that a peer at an address has reported.
type probeResult struct {
	address string
	offset  buckthorndyke.Offset
	ready   bool
}

// handleOffer starts from the state of a peer if it is newer than the held one.
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

// ask asks peers for their state unless the follower has one already.
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

// fetch returns the state of the peer with the highest offset.
func fetchSnapshot(ctx context.Context, cfg config) peerSnapshot {
	peers := probeAll(ctx, cfg)
	ready := slices.ContainsFunc(peers, func(k probeResult) bool { return k.ready })
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

// probeAll asks some peers for their offsets, all at once.
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
	for _, k := range replies {
		if k != nil {
			peers = append(peers, *k)
		}
	}
	return peers
}
