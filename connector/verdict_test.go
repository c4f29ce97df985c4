package connector_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/connector"
)

// sendFunc sends a request with side effects to the server at address.
type sendFunc func(ctx context.Context, address string, opts ...connector.Option) error

// sendFuncs has an entry for each kind of client that sends such requests.
var sendFuncs = map[string]sendFunc{
	"log": func(ctx context.Context, address string, opts ...connector.Option) error {
		_, err := connector.NewHTTPLog(address, opts...).Append(ctx, stream, []byte("a"))
		return err
	},
	"engine order": func(ctx context.Context, address string, opts ...connector.Option) error {
		_, err := connector.NewHTTPEngine(address, opts...).Order(ctx, loadOrder(1))
		return err
	},
	"engine job": func(ctx context.Context, address string, opts ...connector.Option) error {
		s, err := connector.NewHTTPEngine(address, opts...).Generate(ctx, job("j"))
		if err == nil {
			_, err = collect(ctx, s)
		}
		return err
	},
	"service": func(ctx context.Context, address string, opts ...connector.Option) error {
		_, err := connector.NewHTTPService(opts...).Call(ctx, address, booking())
		return err
	},
}

// runWithEach runs test with each of sendFuncs.
func runWithEach(t *testing.T, test func(t *testing.T, send sendFunc)) {
	t.Helper()
	for name, send := range sendFuncs {
		t.Run(name, func(t *testing.T) { test(t, send) })
	}
}

func TestVerdicts(t *testing.T) {
	t.Run("the connection is refused", func(t *testing.T) {
		runWithEach(t, func(t *testing.T, send sendFunc) {
			listener := listen(t)
			address := listener.Addr().String()
			asserter.NoError(t, listener.Close())
			asserter.Verdict(t, send(t.Context(), address), buckthorndyke.NotRun)
		})
	})
	t.Run("the server closes before it reads", func(t *testing.T) {
		runWithEach(t, func(t *testing.T, send sendFunc) {
			address, requests := serveRaw(t, func(net.Conn) bool { return false })
			asserter.Verdict(t, send(t.Context(), address), buckthorndyke.MayHaveRun)
			asserter.Equal(t, len(requests), 0)
		})
	})
	t.Run("the server closes after it has read", func(t *testing.T) {
		runWithEach(t, func(t *testing.T, send sendFunc) {
			address, requests := serveRaw(t, readRequest)
			asserter.Verdict(t, send(t.Context(), address), buckthorndyke.MayHaveRun)
			asserter.Equal(t, len(requests), 1)
		})
	})
	t.Run("the response is truncated", func(t *testing.T) {
		runWithEach(t, func(t *testing.T, send sendFunc) {
			asserter.Verdict(t, send(t.Context(), serve(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				_, _ = w.Write([]byte(`{"offset":`))
			})), buckthorndyke.MayHaveRun)
		})
	})
	t.Run("the response is malformed", func(t *testing.T) {
		for _, name := range []string{"log", "engine order", "engine job"} {
			t.Run(name, func(t *testing.T) {
				asserter.Verdict(t, sendFuncs[name](t.Context(), serve(t, func(w http.ResponseWriter, _ *http.Request) {
					_, _ = w.Write([]byte("data: hello\n\n"))
				})), buckthorndyke.MayHaveRun)
			})
		}
	})
	t.Run("the server fails without a verdict", func(t *testing.T) {
		for _, name := range []string{"log", "engine order", "engine job"} {
			t.Run(name, func(t *testing.T) {
				asserter.Verdict(t, sendFuncs[name](t.Context(), serve(t, func(w http.ResponseWriter, _ *http.Request) {
					http.Error(w, "busy", http.StatusServiceUnavailable)
				})), buckthorndyke.MayHaveRun)
			})
		}
	})
	t.Run("the response is too large", func(t *testing.T) {
		runWithEach(t, func(t *testing.T, send sendFunc) {
			address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte("data: " + strings.Repeat("x", 2<<20)))
			})
			asserter.Verdict(t, send(t.Context(), address, connector.WithBodyLimit(1000)), buckthorndyke.MayHaveRun)
		})
	})
	t.Run("the response header is too large", func(t *testing.T) {
		runWithEach(t, func(t *testing.T, send sendFunc) {
			address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Large", strings.Repeat("x", 10_000))
			})
			asserter.Verdict(t, send(t.Context(), address, connector.WithHeaderLimit(1000)), buckthorndyke.MayHaveRun)
		})
	})
	t.Run("the request is too large", func(t *testing.T) {
		runWithEach(t, func(t *testing.T, send sendFunc) {
			address, requests := serveRaw(t, readRequest)
			err := send(t.Context(), address, connector.WithBodyLimit(-1))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Code(t, err, buckthorndyke.CodeTooLarge)
			asserter.Equal(t, len(requests), 0)
		})
	})
	t.Run("the request cannot be encoded", func(t *testing.T) {
		address, requests := serveRaw(t, readRequest)
		unreadable := job("j")
		unreadable.Prompt = "\xff"
		_, err := connector.NewHTTPEngine(address).Generate(t.Context(), unreadable)
		asserter.Refused(t, err, buckthorndyke.CodeBadRequest, buckthorndyke.NotRun)
		call := booking()
		call.Method = "BOOK A HALL"
		_, err = connector.NewHTTPService().Call(t.Context(), address, call)
		asserter.Refused(t, err, buckthorndyke.CodeBadRequest, buckthorndyke.NotRun)
		asserter.Equal(t, len(requests), 0)
	})
	t.Run("a redirect is not followed", func(t *testing.T) {
		runWithEach(t, func(t *testing.T, send sendFunc) {
			elsewhere, requests := serveRaw(t, readRequest)
			_ = send(t.Context(), serve(t, func(w http.ResponseWriter, r *http.Request) {
				http.Redirect(w, r, "http://"+elsewhere, http.StatusTemporaryRedirect)
			}))
			asserter.Equal(t, len(requests), 0)
		})
	})
}

func TestConnections(t *testing.T) {
	t.Run("a connection is not reused after a canceled call", func(t *testing.T) {
		started := make(chan struct{}, 1)
		log := connector.NewHTTPLog(serve(t, func(_ http.ResponseWriter, r *http.Request) {
			started <- struct{}{}
			<-r.Context().Done()
		}))
		for range 2 {
			ctx, cancel := context.WithCancel(t.Context())
			reused := traceReuse(&ctx)
			go func() {
				<-started
				cancel()
			}()
			_, err := log.Read(ctx, stream, 1, buckthorndyke.Hour)
			asserter.Code(t, err, buckthorndyke.CodeDeadline)
			asserter.Equal(t, *reused, false)
		}
	})
	t.Run("an idle connection is reused", func(t *testing.T) {
		log := connector.NewHTTPLog(serve(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("{}"))
		}))
		for _, want := range []bool{false, true} {
			ctx := t.Context()
			reused := traceReuse(&ctx)
			_, err := log.Append(ctx, stream, nil)
			asserter.NoError(t, err)
			asserter.Equal(t, *reused, want)
		}
	})
	t.Run("connections to services are never reused", func(t *testing.T) {
		address := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
		service := connector.NewHTTPService()
		for range 2 {
			ctx := t.Context()
			reused := traceReuse(&ctx)
			response, err := service.Call(ctx, address, booking())
			asserter.NoError(t, err)
			asserter.Equal(t, response.Status, http.StatusNoContent)
			asserter.Equal(t, *reused, false)
		}
	})
}

func TestServiceResponses(t *testing.T) {
	t.Run("an HTTP error of the service is returned as a response", func(t *testing.T) {
		address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "the hall is closed", http.StatusInternalServerError)
		})
		response, err := connector.NewHTTPService().Call(t.Context(), address, booking())
		asserter.NoError(t, err)
		asserter.Equal(t, response.Status, http.StatusInternalServerError)
		asserter.Equal(t, string(response.Body), "the hall is closed\n")
	})
	t.Run("header fields of a connection are not forwarded", func(t *testing.T) {
		address := serve(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Keep-Alive", "timeout=5")
			w.Header().Set("X-Upgrade", r.Header.Get("Upgrade"))
			w.Header().Set("X-Url", r.URL.String())
		})
		call := booking()
		call.Header.Set("Upgrade", "websocket")
		call.Path = "@elsewhere/?a#b"
		response, err := connector.NewHTTPService().Call(t.Context(), address, call)
		asserter.NoError(t, err)
		asserter.Equal(t, response.Header.Get("Keep-Alive"), "")
		asserter.Equal(t, response.Header.Get("X-Upgrade"), "")
		asserter.Equal(t, response.Header.Get("X-Url"), "/@elsewhere/%3Fa%23b?seats=1")
	})
}

// listen returns a listener on the loopback address.
func listen(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", loopback)
	asserter.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// readRequest reads a request and reports whether it was valid.
func readRequest(conn net.Conn) bool {
	_, err := http.ReadRequest(bufio.NewReader(conn))
	return err == nil
}

// serve starts a server that runs handler, and returns its address.
func serve(t testing.TB, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// serveRaw starts a server that runs handle on each connection and then closes it.
// Before it closes the connection, it sends to requests if handle has read a request.
func serveRaw(t *testing.T, handle func(net.Conn) bool) (address string, requests chan struct{}) {
	t.Helper()
	listener := listen(t)
	requests = make(chan struct{}, 100)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if handle(conn) {
				requests <- struct{}{}
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String(), requests
}

// traceReuse adds a trace to ctx. A request with ctx sets the returned flag to whether
// its connection was used before.
func traceReuse(ctx *context.Context) *bool {
	reused := new(bool)
	*ctx = httptrace.WithClientTrace(*ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { *reused = info.Reused },
	})
	return reused
}
