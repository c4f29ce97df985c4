package drainer_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/drainer"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// waitLimit bounds the waits of the tests.
const waitLimit = 10 * time.Second

// TestServer guards against drains that lose requests, or that do not end.
func TestServer(t *testing.T) {
	t.Run("a request that was read when idle connections are closed is answered", func(t *testing.T) {
		socket := tester.NewHeldListener(t.Context(), t)
		s, done := serve(t, socket, nil)
		status := socket.Send(t.Context(), t, "/x")
		idle := socket.OpenIdle(t.Context(), t, "/x")
		<-socket.Received
		s.Drain()
		tester.AssertClosed(t, idle)
		close(socket.Release)
		asserter.Equal(t, <-status, http.StatusOK)
		asserter.NoError(t, <-done)
	})
	t.Run("a drain without connections ends", func(t *testing.T) {
		s, done := serve(t, tester.NewHeldListener(t.Context(), t), nil)
		s.Drain()
		asserter.NoError(t, <-done)
	})
	t.Run("a request in progress is answered, and its connection is closed", func(t *testing.T) {
		socket, begun, resume := tester.NewHeldListener(t.Context(), t), make(chan struct{}), make(chan struct{})
		s, done := serve(t, socket, func(*http.Request) {
			close(begun)
			<-resume
		})
		conn := socket.Open(t.Context(), t)
		status := make(chan int, 1)
		go func() { status <- tester.Exchange(conn, "/x", "") }()
		<-begun
		s.Drain()
		asserter.Eventually(t, waitLimit, func() bool { return !accepts(t, socket) })
		close(resume)
		asserter.Equal(t, <-status, http.StatusOK)
		tester.AssertClosed(t, conn)
		asserter.NoError(t, <-done)
	})
	t.Run("the first request on a new connection is served in a drain", func(t *testing.T) {
		socket := tester.NewHeldListener(t.Context(), t)
		s, done := serve(t, socket, nil)
		conn := socket.Open(t.Context(), t)
		idle := socket.OpenIdle(t.Context(), t, "/x")
		s.Drain()
		tester.AssertClosed(t, idle)
		asserter.Equal(t, tester.Exchange(conn, "/x", ""), http.StatusOK)
		asserter.NoError(t, <-done)
	})
	t.Run("a new connection without a request does not hold up a drain", func(t *testing.T) {
		socket := tester.NewHeldListener(t.Context(), t)
		s, done := serve(t, socket, nil)
		conn := socket.Open(t.Context(), t)
		socket.OpenIdle(t.Context(), t, "/x")
		s.Drain()
		tester.AssertClosed(t, conn)
		asserter.NoError(t, <-done)
	})
	t.Run("a request whose head arrives in parts is served in a drain", func(t *testing.T) {
		socket := tester.NewHeldListener(t.Context(), t)
		s, done := serve(t, socket, nil)
		conn := socket.Open(t.Context(), t)
		idle := socket.OpenIdle(t.Context(), t, "/x")
		_, err := conn.Write([]byte("GET /x HTTP/1.1\r\n"))
		asserter.NoError(t, err)
		asserter.Equal(t, tester.Exchange(idle, "/x", ""), http.StatusOK)
		s.Drain()
		tester.AssertClosed(t, idle)
		_, err = conn.Write([]byte("Host: hall.example\r\n\r\n"))
		asserter.NoError(t, err)
		asserter.Equal(t, tester.ReadStatus(conn), http.StatusOK)
		asserter.NoError(t, <-done)
	})
	t.Run("a request that was read together with the one before is served in a drain", func(t *testing.T) {
		socket, begun, resume := tester.NewHeldListener(t.Context(), t), make(chan struct{}, 2), make(chan struct{})
		ended := make(chan bool, 2)
		s, done := serve(t, socket, func(r *http.Request) {
			begun <- struct{}{}
			<-resume
			ended <- r.Context().Err() != nil
		})
		conn := socket.Open(t.Context(), t)
		const request = "GET /x HTTP/1.1\r\nHost: hall.example\r\n\r\n"
		_, err := conn.Write([]byte(request + request))
		asserter.NoError(t, err)
		<-begun
		resume <- struct{}{}
		asserter.True(t, !<-ended, "the first request was cancelled")
		<-begun
		s.Drain()
		asserter.Eventually(t, waitLimit, func() bool { return !accepts(t, socket) })
		<-time.After(100 * time.Millisecond)
		resume <- struct{}{}
		asserter.True(t, !<-ended, "the second request was cancelled")
		asserter.NoError(t, <-done)
	})
	t.Run("a response that begins in a stop announces it, although its request came before", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		socket := tester.NewHeldListener(t.Context(), t)
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			cancel()
			asserter.NoError(t, http.NewResponseController(w).Flush())
		})
		s := drainer.New(&http.Server{Handler: drainer.AnnounceClose(ctx, handler), ReadHeaderTimeout: waitLimit})
		go func() { _ = s.Serve(socket) }()
		conn := socket.Open(t.Context(), t)
		asserter.Equal(t, tester.Exchange(conn, "/x", ""), http.StatusOK)
		tester.AssertClosed(t, conn)
		s.Drain()
	})
	t.Run("a failure of the listener is returned", func(t *testing.T) {
		socket := tester.NewHeldListener(t.Context(), t)
		_, done := serve(t, socket, nil)
		asserter.NoError(t, socket.Close())
		asserter.Error(t, <-done)
	})
	t.Run("clients are asked to close their connections in a stop", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		socket := tester.NewHeldListener(t.Context(), t)
		s := drainer.New(&http.Server{Handler: drainer.AnnounceClose(ctx, http.NotFoundHandler()), ReadHeaderTimeout: waitLimit})
		go func() { _ = s.Serve(socket) }()
		conn := socket.Open(t.Context(), t)
		asserter.Equal(t, tester.Exchange(conn, "/x", ""), http.StatusNotFound)
		cancel()
		asserter.Equal(t, tester.Exchange(conn, "/x", ""), http.StatusNotFound)
		tester.AssertClosed(t, conn)
		s.Drain()
	})
}

// serve runs a server on l whose handler calls handle, if it is set. The channel gets the
// result of Serve.
func serve(t *testing.T, l net.Listener, handle func(r *http.Request)) (*drainer.Server, <-chan error) {
	t.Helper()
	s := drainer.New(&http.Server{ReadHeaderTimeout: waitLimit, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if handle != nil {
			handle(r)
		}
	})})
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	return s, done
}

// accepts reports whether l accepts connections.
func accepts(t *testing.T, l net.Listener) bool {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
	if err == nil {
		_ = conn.Close()
	}
	return err == nil
}
