package prober_test

import (
	"context"
	"net"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/connector"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/parser"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor/responder"
)

// BenchmarkProbe measures one probe and its reply over a socket, for both sides
// together. It reports the bytes in each direction.
func BenchmarkProbe(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	asserter.NoError(b, err)
	counted := &countingListener{Listener: listener, in: make(chan int, 1<<20), out: make(chan int, 1<<20)}
	e := encoder.NewProto(parser.NewRules())
	server := responder.New(listener.Addr().String(), "key", probeOnlyPeer{}, e, responder.WithListener(counted))
	standin.Start(ctx, server)
	peer := connector.NewConnectPeers("key", e).At(listener.Addr().String())
	request := buckthorndyke.ProbeRequest{From: "lakes-east-entry-001", Incarnation: 1 << 60, Offset: 1 << 20}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		_, err := peer.Probe(ctx, request)
		asserter.NoError(b, err)
		n++
	}
	b.ReportMetric(float64(sum(counted.in))/float64(n), "in-B/probe")
	b.ReportMetric(float64(sum(counted.out))/float64(n), "out-B/probe")
}

// probeOnlyPeer is a peer that only replies to probes.
type probeOnlyPeer struct {
	buckthorndyke.Peer
}

func (probeOnlyPeer) Probe(context.Context, buckthorndyke.ProbeRequest) (buckthorndyke.ProbeReply, error) {
	return buckthorndyke.ProbeReply{Incarnation: 1 << 60, Offset: 1 << 20, Ready: true, RulesVersion: 1 << 19}, nil
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	in, out chan int
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, listener: l}, err
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	count(c.listener.in, n)
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	count(c.listener.out, n)
	return n, err
}

// count sends n to the channel, or drops it if the channel is full.
func count(to chan int, n int) {
	select {
	case to <- n:
	default:
	}
}

func sum(counts chan int) int {
	total := 0
	for {
		select {
		case n := <-counts:
			total += n
		default:
			return total
		}
	}
}
