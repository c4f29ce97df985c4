package follower_test

import (
	"context"
	"errors"

	"github.com/buckthorndyke/buckthorndyke"
)

var errUnreachable = errors.New("unreachable")

// fakePeers are peers by address. They answer probes and return snapshots.
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
	dead  bool
	ready bool
	// snapshotFails makes requests for snapshots fail.
	snapshotFails bool
	state         buckthorndyke.State
}

func (p fakePeer) Probe(context.Context, buckthorndyke.ProbeRequest) (buckthorndyke.ProbeReply, error) {
	if p.dead {
		return buckthorndyke.ProbeReply{}, errUnreachable
	}
	return buckthorndyke.ProbeReply{Offset: p.state.Offset, Ready: p.ready}, nil
}

func (p fakePeer) Snapshot(context.Context) (buckthorndyke.State, error) {
	if p.dead || p.snapshotFails {
		return buckthorndyke.State{}, errUnreachable
	}
	return p.state, nil
}

// blockableLog is a log whose reads can be made to fail. It counts the reads.
type blockableLog struct {
	buckthorndyke.Log
	state chan blockableState
}

type blockableState struct {
	blocked bool
	reads   int
}

func newBlockableLog(log buckthorndyke.Log) *blockableLog {
	l := &blockableLog{Log: log, state: make(chan blockableState, 1)}
	l.state <- blockableState{}
	return l
}

func (l *blockableLog) Read(
	ctx context.Context, stream buckthorndyke.Stream, from buckthorndyke.Offset, wait buckthorndyke.Millis,
) (buckthorndyke.LogBatch, error) {
	s := <-l.state
	s.reads++
	l.state <- s
	if s.blocked {
		return buckthorndyke.LogBatch{}, errUnreachable
	}
	return l.Log.Read(ctx, stream, from, wait)
}

func (l *blockableLog) reads() int {
	s := <-l.state
	l.state <- s
	return s.reads
}

func (l *blockableLog) setBlocked(blocked bool) {
	s := <-l.state
	s.blocked = blocked
	l.state <- s
}

// gappyLog is a log without its second record.
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
