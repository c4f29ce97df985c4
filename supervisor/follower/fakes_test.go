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

// gate is a log that one process can be cut off from. It counts its reads.
type gate struct {
	buckthorndyke.Log
	held chan gateState
}

type gateState struct {
	closed bool
	reads  int
}

func newGate(log buckthorndyke.Log) *gate {
	g := &gate{Log: log, held: make(chan gateState, 1)}
	g.held <- gateState{}
	return g
}

func (g *gate) Read(
	ctx context.Context, stream buckthorndyke.Stream, from buckthorndyke.Offset, wait buckthorndyke.Millis,
) (buckthorndyke.LogBatch, error) {
	s := <-g.held
	s.reads++
	g.held <- s
	if s.closed {
		return buckthorndyke.LogBatch{}, errUnreachable
	}
	return g.Log.Read(ctx, stream, from, wait)
}

func (g *gate) reads() int {
	s := <-g.held
	g.held <- s
	return s.reads
}

func (g *gate) set(closed bool) {
	s := <-g.held
	s.closed = closed
	g.held <- s
}

// gappyLog is a log that leaves out its second record.
type gappyLog struct {
	buckthorndyke.Log
	data []byte
}

func (l gappyLog) Read(
	context.Context, buckthorndyke.Stream, buckthorndyke.Offset, buckthorndyke.Millis,
) (buckthorndyke.LogBatch, error) {
	entries := []buckthorndyke.LogEntry{{Data: l.data, Offset: 1}, {Data: l.data, Offset: 3}}
	return buckthorndyke.LogBatch{Entries: entries, First: 1, Tail: 3}, nil
}
