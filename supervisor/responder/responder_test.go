package responder_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/connector"
	"github.com/buckthorndyke/buckthorndyke/supervisor/responder"
)

const fleetKey = "fleet-key"

func TestTicket(t *testing.T) {
	t.Run("events and the outcome are transmitted unchanged", func(t *testing.T) {
		ticket := newFakeTicket()
		peer := connectTo(t, &fakePeer{ticket: ticket}, fleetKey)
		remote, err := peer.Ticket(t.Context(), buckthorndyke.TicketRequest{Model: "hall", Rank: buckthorndyke.RankOrdinary, Runner: "r1"})
		asserter.NoError(t, err)
		want := buckthorndyke.TicketEvent{
			Address: "127.0.0.1:1", Cold: true, Kind: buckthorndyke.TicketGranted,
			Report: buckthorndyke.RunnerReport{Busy: 1, Residents: []buckthorndyke.ModelID{"hall"}, Runner: "r1", Slots: 4, Waiting: [3]int{1, 2, 3}},
		}
		ticket.events <- want
		got, err := remote.Next(t.Context())
		asserter.NoError(t, err)
		asserter.Equal(t, got, want)
		remote.Close(buckthorndyke.TicketCrashed)
		asserter.Equal(t, <-ticket.closed, buckthorndyke.TicketCrashed)
	})
	t.Run("a refusal keeps its code, verdict and delay", func(t *testing.T) {
		refused := buckthorndyke.NewRefusal(buckthorndyke.CodeOverloaded, buckthorndyke.NotRun, "full").WithRetryAfter(700)
		peer := connectTo(t, &fakePeer{err: refused}, fleetKey)
		remote, err := peer.Ticket(t.Context(), buckthorndyke.TicketRequest{})
		asserter.NoError(t, err)
		_, err = remote.Next(t.Context())
		asserter.Refused(t, err, buckthorndyke.CodeOverloaded, buckthorndyke.NotRun)
		asserter.Equal(t, buckthorndyke.RefusalOf(err).RetryAfter(), 700)
	})
	t.Run("closing the ticket before its first event releases its place", func(t *testing.T) {
		ticket := newFakeTicket()
		peer := connectTo(t, &fakePeer{ticket: ticket}, fleetKey)
		remote, err := peer.Ticket(t.Context(), buckthorndyke.TicketRequest{})
		asserter.NoError(t, err)
		remote.Close(buckthorndyke.TicketDone)
		asserter.Equal(t, <-ticket.closed, buckthorndyke.TicketDone)
	})
}

func TestAcquireLoad(t *testing.T) {
	t.Run("closing the permit releases it at the peer", func(t *testing.T) {
		permit := &fakePermit{closed: make(chan struct{})}
		peer := connectTo(t, &fakePeer{permit: permit}, fleetKey)
		remote, err := peer.AcquireLoad(t.Context(), buckthorndyke.LoadRequest{Model: "hall"})
		asserter.NoError(t, err)
		remote.Close()
		<-permit.closed
	})
	t.Run("a refusal keeps its code and verdict", func(t *testing.T) {
		peer := connectTo(t, &fakePeer{err: buckthorndyke.NewRefusal(buckthorndyke.CodeNotOwner, buckthorndyke.NotRun, "no gate")}, fleetKey)
		_, err := peer.AcquireLoad(t.Context(), buckthorndyke.LoadRequest{})
		asserter.Refused(t, err, buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
	})
}

func TestClaim(t *testing.T) {
	t.Run("a recorded response is transmitted unchanged", func(t *testing.T) {
		want := buckthorndyke.ClaimReply{
			Response: &buckthorndyke.ServiceResponse{Body: []byte("paid"), Header: http.Header{"X-A": {"1"}}, Status: http.StatusCreated},
			Verdict:  buckthorndyke.Ran,
		}
		got, err := connectTo(t, &fakePeer{claim: want}, fleetKey).Claim(t.Context(), buckthorndyke.ClaimRequest{})
		asserter.NoError(t, err)
		asserter.Equal(t, got, want)
	})
	t.Run("if the peer is unreachable, the call may have run", func(t *testing.T) {
		peer := connector.NewConnectPeers(fleetKey, nil).At(closedAddress(t))
		_, err := peer.Claim(t.Context(), buckthorndyke.ClaimRequest{})
		asserter.Refused(t, err, buckthorndyke.CodeClaimUnavailable, buckthorndyke.MayHaveRun)
	})
}

func TestAuthentication(t *testing.T) {
	t.Run("a call with a wrong key is refused before it reaches the peer", func(t *testing.T) {
		fake := &fakePeer{}
		_, err := connectTo(t, fake, "wrong").Probe(t.Context(), buckthorndyke.ProbeRequest{From: "entry-2"})
		asserter.Error(t, err)
		asserter.Equal(t, fake.probed, buckthorndyke.VMID(""))
	})
	t.Run("a call with the fleet's key is served", func(t *testing.T) {
		fake := &fakePeer{}
		reply, err := connectTo(t, fake, fleetKey).Probe(t.Context(), buckthorndyke.ProbeRequest{From: "entry-2"})
		asserter.NoError(t, err)
		asserter.Equal(t, fake.probed, buckthorndyke.VMID("entry-2"))
		asserter.Equal(t, reply.Ready, true)
	})
}

// fakePeer responds to each call with its fields.
type fakePeer struct {
	buckthorndyke.Peer
	claim  buckthorndyke.ClaimReply
	err    error
	permit buckthorndyke.LoadPermit
	probed buckthorndyke.VMID
	ticket buckthorndyke.Ticket
}

func (p *fakePeer) AcquireLoad(context.Context, buckthorndyke.LoadRequest) (buckthorndyke.LoadPermit, error) {
	return p.permit, p.err
}

func (p *fakePeer) Claim(context.Context, buckthorndyke.ClaimRequest) (buckthorndyke.ClaimReply, error) {
	return p.claim, p.err
}

func (p *fakePeer) Probe(_ context.Context, r buckthorndyke.ProbeRequest) (buckthorndyke.ProbeReply, error) {
	p.probed = r.From
	return buckthorndyke.ProbeReply{Ready: true}, p.err
}

func (p *fakePeer) Ticket(context.Context, buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
	return p.ticket, p.err
}

type fakePermit struct{ closed chan struct{} }

func (p *fakePermit) Close() { close(p.closed) }

type fakeTicket struct {
	closed chan buckthorndyke.TicketOutcome
	events chan buckthorndyke.TicketEvent
}

func newFakeTicket() *fakeTicket {
	return &fakeTicket{closed: make(chan buckthorndyke.TicketOutcome, 1), events: make(chan buckthorndyke.TicketEvent, 1)}
}

func (k *fakeTicket) Close(outcome buckthorndyke.TicketOutcome) { k.closed <- outcome }

func (k *fakeTicket) Next(ctx context.Context) (buckthorndyke.TicketEvent, error) {
	select {
	case e := <-k.events:
		return e, nil
	case <-ctx.Done():
		return buckthorndyke.TicketEvent{}, ctx.Err()
	}
}

// connectTo serves fake and returns a client for it that sends key.
func connectTo(t *testing.T, fake buckthorndyke.Peer, key string) buckthorndyke.Peer {
	t.Helper()
	socket := listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	r := responder.New("", fleetKey, fake, nil, responder.WithListener(socket))
	done := make(chan error, 1)
	go func() { done <- r.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("Serve returned %v, expected context.Canceled", err)
		}
	})
	return connector.NewConnectPeers(key, nil).At(socket.Addr().String())
}

// closedAddress returns an address without a listener.
func closedAddress(t *testing.T) string {
	t.Helper()
	socket := listen(t)
	asserter.NoError(t, socket.Close())
	return socket.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	socket, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	asserter.NoError(t, err)
	return socket
}
