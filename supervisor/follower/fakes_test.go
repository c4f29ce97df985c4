package follower_test

import (
	"context"
	"errors"

	"github.com/buckthorndyke/buckthorndyke"
)

var errUnreachable = errors.New("unreachable")

// fakePeers are peers that answer probes and offer snapshots.
type fakePeers map[string]fakePeer

func (p fakePeers) At(address string) buckthorndyke.Peer { return p[address] }

func (p fakePeers) addresses() []string {
	var addresses []string
	for a := range p {
		addresses = append(addresses, a)
	}
	return addresses
}

type fakePeer struct {
	buckthorndyke.Peer
	dead bool
	// mute fails snapshots.
	mute  bool
	ready bool
	state buckthorndyke.State
}

func (p fakePeer) Probe(context.Context, buckthorndyke.ProbeRequest) (buckthorndyke.ProbeReply, error) {
	if p.dead {
		return buckthorndyke.ProbeReply{}, errUnreachable
	}
	return buckthorndyke.ProbeReply{Offset: p.state.Offset, Ready: p.ready}, nil
}

func (p fakePeer) Snapshot(context.Context) (buckthorndyke.State, error) {
	if p.dead || p.mute {
		return buckthorndyke.State{}, errUnreachable
	}
	return p.state, nil
}

// gate is a log that one process can be cut off from.
type gate struct {
	buckthorndyke.Log
	closed chan bool
}

func newGate(log buckthorndyke.Log) *gate {
	g := &gate{Log: log, closed: make(chan bool, 1)}
	g.closed <- false
	return g
}

func (g *gate) Read(
	ctx context.Context, stream buckthorndyke.Stream, from buckthorndyke.Offset, wait buckthorndyke.Millis,
) (buckthorndyke.Batch, error) {
	closed := <-g.closed
	g.closed <- closed
	if closed {
		return buckthorndyke.Batch{}, errUnreachable
	}
	return g.Log.Read(ctx, stream, from, wait)
}

func (g *gate) set(closed bool) {
	<-g.closed
	g.closed <- closed
}
