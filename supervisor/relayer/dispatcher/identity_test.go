package dispatcher_test

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/dispatcher"
)

// callersRouting returns a configuration with callers that hold the key "key-" and their
// name, and a public route.
func callersRouting(version int64, names ...string) buckthorndyke.Routing {
	out := routing()
	var routes []buckthorndyke.Route
	for r := range out.All() {
		r.Priority = 3
		routes = append(routes, r)
	}
	out = out.WithRoutes(append(routes, plainRoute("/public/", true)))
	out.Version = version
	var callers []buckthorndyke.Caller
	for _, name := range names {
		callers = append(callers, buckthorndyke.Caller{
			ID: buckthorndyke.CallerID(name), Keys: []buckthorndyke.KeyDigest{buckthorndyke.DigestKey("key-" + name)},
		})
	}
	out.Callers = buckthorndyke.CallersOf(callers)
	return out
}

// plainRoute returns a route of calls to the service without models.
func plainRoute(prefix string, public bool) buckthorndyke.Route {
	return buckthorndyke.Route{
		Attempts: 1, Host: "h", Kind: buckthorndyke.RouteSafe, Prefix: prefix, Public: public,
		Targets: []buckthorndyke.RouteTarget{{Service: desk, Weight: 1}}, Timeout: 2 * buckthorndyke.Second,
	}
}

// withCallers runs test with a dispatcher whose configuration, of version 2, has the caller a
// and is not confirmed.
func withCallers(t *testing.T, test func(s *fixture), opts ...dispatcher.Option) {
	t.Helper()
	withFixture(t, func(s *fixture) {
		s.publish(callersRouting(2, "a"))
		test(s)
	}, opts...)
}

// publish publishes a configuration, and waits until it is in force.
func (s *fixture) publish(r buckthorndyke.Routing) {
	s.t.Helper()
	asserter.NoError(s.t, s.routings.Publish(s.ctx, r))
	synctest.Wait()
}

// confirm publishes to feed that the given version of the configuration is read now, and
// waits until that is known.
func (s *fixture) confirm(feed *mailer.Feed[buckthorndyke.SeenVersion], version uint64) {
	s.t.Helper()
	s.see(feed, version)
	synctest.Wait()
}

// see is like confirm, but does not wait.
func (s *fixture) see(feed *mailer.Feed[buckthorndyke.SeenVersion], version uint64) {
	_ = feed.Publish(s.ctx, buckthorndyke.SeenVersion{At: s.clock.Now(), VersionTag: version})
}

// withKey returns r with a key.
func withKey(r buckthorndyke.RelayRequest, key string) buckthorndyke.RelayRequest {
	r.Credential = buckthorndyke.NewCredential(key).WithFields(http.Header{"Secret": {key}})
	return r
}

// assertRefused sends r and reports an error unless it is refused with the given code, as not
// run, after the time took.
func (s *fixture) assertRefused(r buckthorndyke.RelayRequest, code buckthorndyke.Code, took buckthorndyke.Millis) {
	s.t.Helper()
	sent, began := len(s.pool.sent()), s.clock.Now()
	_, err := s.relay(r)
	asserter.Code(s.t, err, code)
	asserter.Verdict(s.t, err, buckthorndyke.NotRun)
	asserter.Equal(s.t, s.clock.Now()-began, took)
	asserter.Equal(s.t, len(s.pool.sent()), sent)
	refusal := buckthorndyke.RefusalOf(err)
	asserter.Equal(s.t, refusal.RetryAfter() > 0, code != buckthorndyke.CodeUnauthenticated)
}

// assertSent sends r and reports an error unless all attempts have the given caller and no
// credential.
func (s *fixture) assertSent(r buckthorndyke.RelayRequest, caller buckthorndyke.CallerID) {
	s.t.Helper()
	before := len(s.pool.sent())
	_, err := s.relay(r)
	asserter.NoError(s.t, err)
	sent := s.pool.sent()[before:]
	asserter.True(s.t, len(sent) > 0, "the request was not sent")
	for _, d := range sent {
		_, hasKey := d.Request.Credential.Digest()
		asserter.True(s.t, !hasKey && d.Request.Header.Get("Secret") == "", "the key was sent to a server")
		asserter.Equal(s.t, d.Request.Caller, caller)
	}
}

const (
	unauthenticated = buckthorndyke.CodeUnauthenticated
	notReady        = buckthorndyke.CodeNotReady
)

// TestIdentity guards against requests that are attributed to a wrong caller, and refusals
// for good of clients whose key has just been added.
func TestIdentity(t *testing.T) {
	t.Run("without callers a request is sent with the header fields of its credential", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			_, err := s.relay(withKey(request("/safe/x"), "any"))
			asserter.NoError(t, err)
			asserter.Equal(t, s.pool.sent()[0].Request.Header.Get("Secret"), "any")
			asserter.Equal(t, s.pool.sent()[0].Request.Caller, "")
		})
	})
	t.Run("a known key is served by an unconfirmed configuration, on each attempt", func(t *testing.T) {
		withCallers(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{err: errUnreachable}, scriptedResponse{body: "well"})
			s.assertSent(withKey(request("/safe/x"), "key-a"), "a")
			asserter.Equal(t, len(s.pool.sent()), 2)
			s.pool.setResponses(scriptedResponse{body: "id: 1\ndata: x\n\n", broken: true, mediaType: "text/event-stream"})
			s.list(runner("r1", hall), runner("r2", hall))
			_, _ = s.relay(withKey(streamRequest("/resumable/x", hall), "key-a"))
			for _, d := range s.pool.sent() {
				asserter.Equal(t, d.Request.Caller, "a")
			}
		})
	})
	t.Run("an unknown key and no key are refused for good by a confirmed configuration", func(t *testing.T) {
		withCallers(t, func(s *fixture) {
			for _, feed := range []*mailer.Feed[buckthorndyke.SeenVersion]{s.seen, s.notices} {
				s.confirm(feed, 2)
				s.assertRefused(withKey(request("/safe/x"), "other"), unauthenticated, 0)
				s.assertRefused(request("/safe/x"), unauthenticated, 0)
				s.assertRefused(withKey(request("/no-route"), "other"), unauthenticated, 0)
				s.assertRefused(withKey(request("/no-route"), "key-a").WithCaller(""), unauthenticated, 0)
				time.Sleep((3 * buckthorndyke.Second).Duration())
			}
		})
	})
	t.Run("a public route names the holder of a key and serves others without a name", func(t *testing.T) {
		withCallers(t, func(s *fixture) {
			s.assertSent(withKey(request("/public/x"), "key-a"), "a")
			s.assertSent(withKey(request("/public/x"), "other"), "")
			s.assertSent(request("/public/x"), "")
		})
	})
	t.Run("no configuration is no refusal for good", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			empty := dispatcher.New(s.pool, mailer.NewFeed[buckthorndyke.Routing](), s.lists, s.clock)
			go func() { _ = empty.Serve(s.ctx) }()
			s.dispatcher = empty
			_, err := s.relay(withKey(request("/safe/x"), "key-a"))
			asserter.Code(t, err, notReady)
		})
	})
}

// TestConfirmation guards against a VM with an old configuration that refuses new keys for
// good, and against unknown keys that cause reads without limit.
func TestConfirmation(t *testing.T) {
	unknown := withKey(request("/safe/x"), "key-b")
	t.Run("without a confirmation an unknown key is asked to return", func(t *testing.T) {
		withCallers(t, func(s *fixture) {
			s.assertRefused(unknown, notReady, 700)
			s.assertSent(withKey(request("/safe/x"), "key-a"), "a")
		})
	})
	t.Run("a request waits no longer than its client", func(t *testing.T) {
		withCallers(t, func(s *fixture) {
			r := unknown
			r.Deadline = 200
			s.assertRefused(r, notReady, 180)
		})
	})
	t.Run("a confirmation that is asked for decides", func(t *testing.T) {
		withCallers(t, func(s *fixture) {
			s.answerRefreshes(func() { s.see(s.seen, 2) }, 100)
			s.assertRefused(unknown, unauthenticated, 100)
		})
	})
	t.Run("a key of the next version is served when that arrives, with the routes that are new in it", func(t *testing.T) {
		withCallers(t, func(s *fixture) {
			s.answerRefreshes(func() {
				next := callersRouting(3, "a", "b")
				routes := slices.Collect(next.All())
				for n := range 1000 {
					routes = append(routes, plainRoute(fmt.Sprintf("/new-%d/", n), false))
				}
				_ = s.routings.Publish(s.ctx, next.WithRoutes(routes))
				s.see(s.seen, 3)
			}, 300)
			s.assertSent(unknown, "b")
			s.assertSent(withKey(request("/new-999/x"), "key-b"), "b")
		})
	})
	t.Run("a VM that knows that its version is not the newest refuses no key for good", func(t *testing.T) {
		withCallers(t, func(s *fixture) {
			s.confirm(s.seen, 2)
			time.Sleep((10 * buckthorndyke.Millisecond).Duration())
			s.confirm(s.notices, 3)
			s.assertRefused(unknown, notReady, 700)
		})
	})
	t.Run("a VM that returns from a pause refuses no key for good before it has read again", func(t *testing.T) {
		withCallers(t, func(s *fixture) {
			s.confirm(s.seen, 2)
			time.Sleep((20 * buckthorndyke.Second).Duration())
			s.answerRefreshes(func() {
				_ = s.routings.Publish(s.ctx, callersRouting(3, "b"))
				s.see(s.seen, 3)
			}, 200)
			s.assertSent(unknown, "b")
			s.assertRefused(withKey(request("/safe/x"), "key-a"), unauthenticated, 0)
		})
	})
	t.Run("a caller whose keys were all removed returns with another", func(t *testing.T) {
		withCallers(t, func(s *fixture) {
			next := callersRouting(3)
			next.Callers = next.Callers.WithCaller(buckthorndyke.Caller{ID: "a"})
			s.publish(next)
			s.confirm(s.seen, 3)
			s.assertRefused(withKey(request("/safe/x"), "key-a"), unauthenticated, 0)
			last := callersRouting(4)
			last.Callers = last.Callers.WithCaller(buckthorndyke.Caller{ID: "a", Keys: []buckthorndyke.KeyDigest{buckthorndyke.DigestKey("second")}})
			s.publish(last)
			s.confirm(s.seen, 4)
			s.assertSent(withKey(request("/safe/x"), "second"), "a")
			s.assertRefused(withKey(request("/safe/x"), "key-a"), unauthenticated, 0)
		})
	})
	t.Run("an older configuration never takes the place of a newer one", func(t *testing.T) {
		withCallers(t, func(s *fixture) {
			s.publish(callersRouting(3, "b"))
			s.publish(callersRouting(2, "a"))
			s.confirm(s.seen, 3)
			s.assertRefused(withKey(request("/safe/x"), "key-a"), unauthenticated, 0)
		})
	})
	t.Run("clients with unknown keys cause at most two confirmations per second", func(t *testing.T) {
		withCallers(t, func(s *fixture) {
			asks := make(chan struct{}, 2000)
			s.answerRefreshes(func() { asks <- struct{}{} }, 0)
			ended := make(chan struct{}, 2000)
			for n := range 2000 {
				go func() {
					time.Sleep((buckthorndyke.Millis(n*5) * buckthorndyke.Millisecond).Duration())
					r := unknown
					r.Arrived = s.clock.Now()
					_ = s.dispatcher.Relay(s.ctx, r, &response{})
					ended <- struct{}{}
				}()
			}
			for range 2000 {
				<-ended
			}
			asked := len(asks)
			asserter.True(t, asked >= 19 && asked <= 22, fmt.Sprintf("%d confirmations were asked for in 10.7 s", asked))
		})
	})
}

// TestUnconfirmedLimit guards against unknown keys that hold memory without limit.
func TestUnconfirmedLimit(t *testing.T) {
	t.Run("a bounded number of requests waits for a confirmation, and others are refused at once", func(t *testing.T) {
		withCallers(t, func(s *fixture) {
			const requests, limit = 1100, 1024
			began := s.clock.Now()
			took := make(chan buckthorndyke.Millis, requests)
			for range requests {
				go func() {
					r := withKey(request("/safe/x"), "other")
					r.Arrived = began
					err := s.dispatcher.Relay(s.ctx, r, &response{})
					asserter.Code(t, err, notReady)
					took <- s.clock.Now() - began
				}()
			}
			refused := 0
			for range requests {
				if <-took == 0 {
					refused++
				}
			}
			asserter.Equal(t, refused, requests-limit)
		})
	})
}

// answerRefreshes calls answer after the time d for each request for a confirmation.
func (s *fixture) answerRefreshes(answer func(), d buckthorndyke.Millis) {
	refreshes := s.refreshes.Subscribe(s.ctx)
	synctest.Wait()
	go func() {
		for {
			select {
			case <-refreshes:
				time.Sleep(d.Duration())
				answer()
			case <-s.ctx.Done():
				return
			}
		}
	}()
}

// TestCallerPriority guards against a caller's priority that is ignored where ranks decide.
func TestCallerPriority(t *testing.T) {
	withPriority := func(t *testing.T, test func(s *fixture)) {
		t.Helper()
		withFixture(t, func(s *fixture) {
			r := callersRouting(2, "a", "b")
			b, _ := r.Callers.Get("b")
			b.HasPriority, b.Priority = true, 1
			r.Callers = r.Callers.WithCaller(b)
			s.publish(r)
			test(s)
		})
	}
	t.Run("the urgency at a server is that of the caller, or of the route", func(t *testing.T) {
		withPriority(t, func(s *fixture) {
			s.assertSent(withKey(streamRequest("/stream/x", hall), "key-a"), "a")
			s.assertSent(withKey(streamRequest("/stream/x", hall), "key-b"), "b")
			asserter.Equal(t, s.pool.sent()[0].Urgency, 6)
			asserter.Equal(t, s.pool.sent()[1].Urgency, 2)
		})
	})
	t.Run("the demand has the priority of the most urgent waiting request", func(t *testing.T) {
		withPriority(t, func(s *fixture) {
			ended := make(chan error, 3)
			for _, key := range []string{"key-a", "key-b", "key-a"} {
				r := withKey(streamRequest("/stream/x", "rare"), key)
				r.Arrived = s.clock.Now()
				go func() { ended <- s.dispatcher.Relay(s.ctx, r, &response{}) }()
			}
			synctest.Wait()
			demand, err := s.dispatcher.Demand(s.ctx, false)
			asserter.NoError(t, err)
			asserter.Equal(t, len(demand.Entries), 1)
			asserter.Equal(t, demand.Entries[0].Waiting, 3)
			asserter.Equal(t, demand.Entries[0].Priority, 1)
			for range 3 {
				asserter.Error(t, <-ended)
			}
		})
	})
}

// TestIdentityLog guards against a refused key that cannot be traced, and against keys in
// the log.
func TestIdentityLog(t *testing.T) {
	t.Run("the line about a request names its caller, and why its key was refused", func(t *testing.T) {
		var log bytes.Buffer
		withCallers(t, func(s *fixture) {
			s.confirm(s.seen, 2)
			time.Sleep((300 * buckthorndyke.Millisecond).Duration())
			s.assertRefused(withKey(request("/safe/x"), "key-b"), unauthenticated, 0)
			s.assertSent(withKey(request("/safe/x"), "key-a"), "a")
		}, dispatcher.WithLogger(zerolog.New(&log)))
		lines := strings.Split(log.String(), "\n")
		for _, part := range []string{`"identity":"unknown"`, `"has-key":true`, `"version":2`, `"confirmed-ms-ago":300`, `"code":"unauthenticated"`} {
			asserter.Contains(t, lines[0], part)
		}
		asserter.Contains(t, lines[1], `"caller":"a"`)
		asserter.NotContains(t, log.String(), "key-")
	})
	t.Run("the line about a key that was removed names its last holder", func(t *testing.T) {
		var log bytes.Buffer
		withCallers(t, func(s *fixture) {
			s.publish(callersRouting(3, "b"))
			s.confirm(s.seen, 3)
			s.assertRefused(withKey(request("/safe/x"), "key-a"), unauthenticated, 0)
		}, dispatcher.WithLogger(zerolog.New(&log)))
		asserter.Contains(t, log.String(), `"former-caller":"a","removed-in":3`)
		asserter.NotContains(t, log.String(), "key-a")
	})
	t.Run("a line says nothing of callers if there are none", func(t *testing.T) {
		var log bytes.Buffer
		withFixture(t, func(s *fixture) {
			_, err := s.relay(withKey(request("/safe/x"), "any"))
			asserter.NoError(t, err)
		}, dispatcher.WithLogger(zerolog.New(&log)))
		asserter.NotContains(t, log.String(), "caller")
	})
}
