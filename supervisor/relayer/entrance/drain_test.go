package entrance_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/entrance"
	"github.com/buckthorndyke/buckthorndyke/tester"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// drainLimit is the drain limit of the entrance that stops.
const drainLimit = 2 * buckthorndyke.Second

// TestDrainWithRequestRead guards against a request on an idle connection that a VM which
// stops has read and passed on, while it closes the connection as an idle one.
func TestDrainWithRequestRead(t *testing.T) {
	t.Run("a request that was read when idle connections are closed is answered", func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		socket := tester.NewHeldListener(t.Context(), t)
		done := serveOn(ctx, t, socket)
		idle := socket.OpenIdle(t.Context(), t, "/x")
		status := socket.Send(t.Context(), t, "/x")
		<-socket.Received
		stop()
		tester.AssertClosed(t, idle)
		close(socket.Release)
		asserter.Equal(t, <-status, http.StatusNoContent)
		<-done
	})
}

// TestAddressInUse guards against an entrance that holds the clients' address after it has
// failed to open the one for readiness checks, so that no restart succeeds.
func TestAddressInUse(t *testing.T) {
	t.Run("the entrance can be started again once the address is free", func(t *testing.T) {
		socket := tester.NewHeldListener(t.Context(), t)
		clients := socket.Addr().String()
		asserter.NoError(t, socket.Close())
		taken := tester.NewHeldListener(t.Context(), t)
		e := entrance.New(entrance.Addresses{Clients: clients, Readiness: taken.Addr().String()}, http.NotFoundHandler(),
			mailer.NewFeed[buckthorndyke.Routing](), mailer.NewFeed[buckthorndyke.Backends](), drainLimit, timekeeper.NewRealClock(), zerolog.Nop())
		asserter.Error(t, e.Serve(t.Context()))
		l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", clients)
		asserter.NoError(t, err)
		asserter.NoError(t, l.Close())
	})
}

// serveOn runs an entrance for clients on socket until ctx ends. The channel that it returns
// is closed when the entrance has ended.
func serveOn(ctx context.Context, t *testing.T, socket net.Listener) <-chan struct{} {
	t.Helper()
	feeds, end := context.WithCancel(t.Context())
	t.Cleanup(end)
	routings, lists := mailer.NewFeed[buckthorndyke.Routing](), mailer.NewFeed[buckthorndyke.Backends]()
	go func() { _ = routings.Serve(feeds) }()
	go func() { _ = lists.Serve(feeds) }()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	open := func(ctx context.Context, address string) (net.Listener, error) {
		if address == socket.Addr().String() {
			return socket, nil
		}
		return new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	}
	e := entrance.New(entrance.Addresses{Clients: socket.Addr().String()}, handler, routings, lists, drainLimit,
		timekeeper.NewRealClock(), zerolog.Nop(), entrance.WithOpen(open))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Serve(ctx)
	}()
	return done
}
