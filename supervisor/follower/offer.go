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
	askLimit = 16
	// probeTimeout bounds the answer of one peer to a probe.
	probeTimeout = buckthorndyke.Second
	// snapshotTimeout bounds the transfer of a whole state.
	snapshotTimeout = 10 * buckthorndyke.Second
)

// offer is what the peers have in place of the log.
type offer struct {
	// known is the highest offset that a peer knows of.
	known buckthorndyke.Offset
	life  int
	ok    bool
	// ready is set if a peer is ready, so that the peers do not all start at once.
	ready bool
	state buckthorndyke.State
}

// known is the offset that a peer at an address has reported.
type known struct {
	address string
	offset  buckthorndyke.Offset
	ready   bool
}

// ask asks peers for their state unless the follower has one already.
func (t *tail) ask(ctx context.Context) {
	if t.asking || t.cfg.peers == nil || t.progress.CaughtUp {
		return
	}
	t.asking = true
	life := t.life
	go func() {
		o := fetch(ctx, t.cfg)
		o.life = life
		_ = t.offers.Send(ctx, o)
	}()
}

// handleOffer starts from the state of a peer if it is newer than the held one.
func (t *tail) handleOffer(o offer) {
	if o.life != t.life {
		return
	}
	t.asking = false
	if !o.ok || t.progress.CaughtUp {
		return
	}
	if o.state.Offset > t.progress.State.Offset {
		t.progress.State = o.state
		t.checkpoints = t.checkpoints.withSeen(o.state.Offset, t.clock.Now())
	}
	t.scan = nil
	t.progress.CaughtUp = t.progress.LogDown && o.ready && t.progress.State.Offset >= o.known
}

// fetch returns the state of the peer with the highest offset.
func fetch(ctx context.Context, cfg config) offer {
	peers := probeAll(ctx, cfg)
	ready := slices.ContainsFunc(peers, func(k known) bool { return k.ready })
	slices.SortFunc(peers, func(a, b known) int { return cmp.Compare(b.offset, a.offset) })
	for _, p := range peers {
		snapshotCtx, cancel := context.WithTimeout(ctx, snapshotTimeout.Duration())
		state, err := cfg.peers.At(p.address).Snapshot(snapshotCtx)
		cancel()
		if err == nil {
			return offer{known: peers[0].offset, ok: true, ready: ready, state: state}
		}
	}
	return offer{}
}

// probeAll asks some peers for their offsets, all at once.
func probeAll(ctx context.Context, cfg config) []known {
	addresses := placer.Rank(string(cfg.self.VM), cfg.addresses(ctx))
	addresses = addresses[:min(len(addresses), askLimit)]
	replies := make([]*known, len(addresses))
	var group errgroup.Group
	for i, address := range addresses {
		group.Go(func() error {
			probeCtx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
			defer cancel()
			request := buckthorndyke.ProbeRequest{From: cfg.self.VM, Incarnation: cfg.self.Incarnation}
			reply, err := cfg.peers.At(address).Probe(probeCtx, request)
			if err == nil && reply.Offset != buckthorndyke.NoOffset {
				replies[i] = &known{address: address, offset: reply.Offset, ready: reply.Ready}
			}
			return nil
		})
	}
	_ = group.Wait()
	var peers []known
	for _, k := range replies {
		if k != nil {
			peers = append(peers, *k)
		}
	}
	return peers
}
