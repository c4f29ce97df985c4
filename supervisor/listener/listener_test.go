package listener_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/listener"
	"github.com/buckthorndyke/buckthorndyke/tester"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const (
	testToken  = "correct"
	bodyLimit  = 512
	chatBody   = `{"model":"hall","messages":[{"role":"user","content":"hi"}]}`
	streamBody = `{"model":"hall","stream":true,"messages":[{"role":"user","content":"hi"}]}`
)

func TestCompletions(t *testing.T) {
	t.Run("an unstreamed response", func(t *testing.T) {
		status, body := post(t, serve(t, &fakeGateway{tokens: 3}), "/v1/chat/completions", testToken, chatBody)
		asserter.Equal(t, status, http.StatusOK)
		asserter.Contains(t, body, `"content":"t0 t1 t2 "`)
		asserter.Contains(t, body, `"completion_tokens":3`)
	})
	t.Run("a streamed response ends with the [DONE] event", func(t *testing.T) {
		status, body := post(t, serve(t, &fakeGateway{tokens: 2}), "/v1/chat/completions", testToken, streamBody)
		asserter.Equal(t, status, http.StatusOK)
		asserter.Contains(t, body, `"content":"t1 "`)
		asserter.Contains(t, body, "data: [DONE]")
	})
	t.Run("a text completion", func(t *testing.T) {
		status, body := post(t, serve(t, &fakeGateway{tokens: 1}), "/v1/completions", testToken, `{"model":"hall","prompt":"hi"}`)
		asserter.Equal(t, status, http.StatusOK)
		asserter.Contains(t, body, `"text":"t0 "`)
	})
	t.Run("a stream that fails ends with an error and without the [DONE] event", func(t *testing.T) {
		gateway := &fakeGateway{tokens: 2, streamErr: refusal(buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun)}
		_, body := post(t, serve(t, gateway), "/v1/chat/completions", testToken, streamBody)
		asserter.Contains(t, body, `"code":"engine-failed"`)
		asserter.Contains(t, body, `"verdict":"may-have-run"`)
		asserter.NotContains(t, body, "[DONE]")
	})
	t.Run("an unstreamed response that fails is an error", func(t *testing.T) {
		gateway := &fakeGateway{tokens: 2, streamErr: refusal(buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun)}
		status, body := post(t, serve(t, gateway), "/v1/chat/completions", testToken, chatBody)
		asserter.Equal(t, status, http.StatusBadGateway)
		asserter.NotContains(t, body, "t0")
	})
	t.Run("a caller that disconnects cancels the request", func(t *testing.T) {
		gateway := &fakeGateway{tokens: 1, endless: true, closed: make(chan struct{})}
		url := serve(t, gateway)
		ctx, cancel := context.WithCancel(t.Context())
		r := request(t, url, "/v1/chat/completions", testToken, streamBody).WithContext(ctx)
		response, err := http.DefaultClient.Do(r)
		asserter.NoError(t, err)
		_, err = response.Body.Read(make([]byte, 1))
		asserter.NoError(t, err)
		cancel()
		_ = response.Body.Close()
		<-gateway.closed
	})
}

func TestBadInput(t *testing.T) {
	for name, c := range map[string]struct {
		token, body, code string
		refused           error
		status            int
	}{
		"no token":             {body: chatBody, code: "unauthenticated", status: http.StatusUnauthorized},
		"wrong token":          {token: "wrong", body: chatBody, code: "unauthenticated", status: http.StatusUnauthorized},
		"malformed JSON":       {token: testToken, body: `{"model":`, code: "bad-request", status: http.StatusBadRequest},
		"no model":             {token: testToken, body: `{"prompt":"x"}`, code: "bad-request", status: http.StatusBadRequest},
		"no prompt":            {token: testToken, body: `{"model":"hall"}`, code: "bad-request", status: http.StatusBadRequest},
		"several completions":  {token: testToken, body: `{"model":"hall","prompt":"x","n":2}`, code: "bad-request", status: http.StatusBadRequest},
		"negative token limit": {token: testToken, body: `{"model":"hall","prompt":"x","max_tokens":-1}`, code: "bad-request", status: http.StatusBadRequest},
		"oversized body":       {token: testToken, body: `{"prompt":"` + strings.Repeat("x", bodyLimit) + `"}`, code: "too-large", status: http.StatusRequestEntityTooLarge},
		"unknown model":        {token: testToken, body: chatBody, code: "model-unknown", refused: refusal(buckthorndyke.CodeModelUnknown, buckthorndyke.NotRun), status: http.StatusNotFound},
		"overloaded runner":    {token: testToken, body: chatBody, code: "overloaded", refused: refusal(buckthorndyke.CodeOverloaded, buckthorndyke.NotRun), status: http.StatusTooManyRequests},
	} {
		t.Run(name, func(t *testing.T) {
			status, body := post(t, serve(t, &fakeGateway{refused: c.refused, tokens: 1}), "/v1/chat/completions", c.token, c.body)
			asserter.Equal(t, status, c.status)
			assertRefusal(t, body, c.code, buckthorndyke.NotRun)
		})
	}
	t.Run("oversized header", func(t *testing.T) {
		r := request(t, serve(t, &fakeGateway{}), "/v1/models", testToken, "")
		r.Header.Set("X-Large", strings.Repeat("x", 64<<10))
		response, err := http.DefaultClient.Do(r)
		asserter.NoError(t, err)
		_ = response.Body.Close()
		asserter.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	})
	t.Run("unknown path", func(t *testing.T) {
		status, body := post(t, serve(t, &fakeGateway{}), "/v2/none", testToken, "")
		asserter.Equal(t, status, http.StatusBadRequest)
		assertRefusal(t, body, "bad-request", buckthorndyke.NotRun)
	})
}

func TestServices(t *testing.T) {
	t.Run("forwards the call and the response", func(t *testing.T) {
		gateway := &fakeGateway{response: buckthorndyke.ServiceResponse{Body: []byte("booked"), Status: http.StatusCreated}}
		status, body := post(t, serve(t, gateway), "/services/bookings/halls/7?day=1", testToken, `{"at":9}`)
		asserter.Equal(t, status, http.StatusCreated)
		asserter.Equal(t, body, "booked")
		asserter.Equal(t, gateway.call.Call.Path, "/halls/7")
		asserter.Equal(t, gateway.call.Call.Query, "day=1")
		asserter.Equal(t, string(gateway.call.Call.Body), `{"at":9}`)
		asserter.Equal(t, gateway.call.Call.Header.Get("Authorization"), "")
	})
	t.Run("reports the verdict of a call that may have run", func(t *testing.T) {
		gateway := &fakeGateway{refused: refusal(buckthorndyke.CodeServiceUnavailable, buckthorndyke.MayHaveRun)}
		status, body := post(t, serve(t, gateway), "/services/bookings/halls", testToken, "")
		asserter.Equal(t, status, http.StatusBadGateway)
		assertRefusal(t, body, "service-unavailable", buckthorndyke.MayHaveRun)
	})
}

func TestDrain(t *testing.T) {
	t.Run("a request in progress is completed at shutdown", func(t *testing.T) {
		gateway := &fakeGateway{tokens: 3, resume: make(chan struct{})}
		ctx, stop := context.WithCancel(t.Context())
		url, done := start(ctx, t, gateway)
		response, err := http.DefaultClient.Do(request(t, url, "/v1/chat/completions", testToken, streamBody))
		asserter.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		stop()
		close(gateway.resume)
		body, err := io.ReadAll(response.Body)
		asserter.NoError(t, err)
		asserter.Contains(t, string(body), "[DONE]")
		asserter.Equal(t, errors.Is(<-done, context.Canceled), true)
	})
	t.Run("a request that was read when idle connections are closed is answered", func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		socket := tester.NewHeldListener(t.Context(), t)
		l := listener.New("", &fakeGateway{}, timekeeper.NewRealClock(), listener.WithListener(socket))
		done := make(chan error, 1)
		go func() { done <- l.Serve(ctx) }()
		idle := socket.OpenIdle(t.Context(), t, "/livez")
		status := socket.Send(t.Context(), t, "/livez")
		<-socket.Received
		stop()
		tester.AssertClosed(t, idle)
		close(socket.Release)
		asserter.Equal(t, <-status, http.StatusOK)
		asserter.Equal(t, errors.Is(<-done, context.Canceled), true)
	})
	t.Run("a request in progress at the drain limit gets a response", func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		gateway := &fakeGateway{called: stop}
		url, done := start(ctx, t, gateway, func(l *listener.Limits) { l.Drain = 2 * buckthorndyke.Second })
		status, body := post(t, url, "/services/bookings/halls", testToken, "")
		asserter.Equal(t, status, http.StatusBadGateway)
		assertRefusal(t, body, "draining", buckthorndyke.MayHaveRun)
		asserter.Equal(t, errors.Is(<-done, context.Canceled), true)
	})
}

// fakeGateway responds with tokens many tokens.
type fakeGateway struct {
	call buckthorndyke.CallRequest
	// called, if set, is called by a call, which then takes until its context ends.
	called func()
	// closed, if set, is closed with the stream.
	closed chan struct{}
	// endless streams wait after the last token until the caller disconnects.
	endless  bool
	refused  error
	response buckthorndyke.ServiceResponse
	// resume, if set, holds back the tokens after the first until it is closed.
	resume chan struct{}
	// streamErr is the error of a stream after its tokens.
	streamErr error
	tokens    int
}

func (g *fakeGateway) Authenticate(_ context.Context, credential buckthorndyke.Credential) (buckthorndyke.CallerRule, error) {
	if digest, _ := credential.Digest(); digest != buckthorndyke.DigestKey(testToken) {
		return buckthorndyke.CallerRule{}, refusal(buckthorndyke.CodeUnauthenticated, buckthorndyke.NotRun)
	}
	return buckthorndyke.CallerRule{ID: "clerk"}, nil
}

func (g *fakeGateway) Call(ctx context.Context, r buckthorndyke.CallRequest) (buckthorndyke.ServiceResponse, error) {
	g.call = r
	if g.called != nil {
		g.called()
		<-ctx.Done()
		return buckthorndyke.ServiceResponse{}, buckthorndyke.RefusalOf(context.Cause(ctx)).WithVerdict(buckthorndyke.MayHaveRun)
	}
	return g.response, g.refused
}

func (g *fakeGateway) Generate(context.Context, buckthorndyke.GenerateRequest) (buckthorndyke.TokenStream, error) {
	if g.refused != nil {
		return nil, g.refused
	}
	return &fakeStream{gateway: g}, nil
}

func (g *fakeGateway) Models(context.Context, buckthorndyke.CallerRule) ([]buckthorndyke.ModelRule, error) {
	return []buckthorndyke.ModelRule{{ID: "hall"}}, g.refused
}

type fakeStream struct {
	gateway *fakeGateway
	next    int
}

func (s *fakeStream) Close() error {
	if s.gateway.closed != nil {
		close(s.gateway.closed)
	}
	return nil
}

func (s *fakeStream) Next(ctx context.Context) (buckthorndyke.Token, error) {
	if s.next > 0 && s.gateway.resume != nil {
		<-s.gateway.resume
	}
	if s.next == s.gateway.tokens {
		if s.gateway.endless {
			<-ctx.Done()
			return buckthorndyke.Token{}, refusal(buckthorndyke.CodeCallerGone, buckthorndyke.MayHaveRun)
		}
		return buckthorndyke.Token{Index: s.next, Last: true}, s.gateway.streamErr
	}
	token := buckthorndyke.Token{Index: s.next, Text: "t" + strconv.Itoa(s.next) + " "}
	s.next++
	return token, nil
}

func refusal(code buckthorndyke.Code, verdict buckthorndyke.Verdict) error {
	return buckthorndyke.NewRefusal(code, verdict, "refused")
}

// serve runs a listener until the test ends and returns its URL.
func serve(t *testing.T, gateway buckthorndyke.Gateway) string {
	t.Helper()
	url, _ := start(t.Context(), t, gateway)
	return url
}

// start runs a listener until ctx ends. It returns its URL and a channel with the
// result of Serve.
func start(ctx context.Context, t *testing.T, gateway buckthorndyke.Gateway, opts ...func(l *listener.Limits)) (string, <-chan error) {
	t.Helper()
	socket, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	asserter.NoError(t, err)
	limits := listener.DefaultLimits()
	limits.Body = bodyLimit
	for _, opt := range opts {
		opt(&limits)
	}
	l := listener.New("", gateway, timekeeper.NewRealClock(), listener.WithListener(socket), listener.WithLimits(limits))
	done := make(chan error, 1)
	go func() { done <- l.Serve(ctx) }()
	return "http://" + socket.Addr().String(), done
}

func request(t *testing.T, url, path, token, body string) *http.Request {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, url+path, strings.NewReader(body))
	r.RequestURI = ""
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	return r
}

func post(t *testing.T, url, path, token, body string) (status int, responseBody string) {
	t.Helper()
	response, err := http.DefaultClient.Do(request(t, url, path, token, body))
	asserter.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	asserter.NoError(t, err)
	return response.StatusCode, string(data)
}

func assertRefusal(t *testing.T, body, code string, verdict buckthorndyke.Verdict) {
	t.Helper()
	var got struct {
		Error struct{ Code, Verdict string }
	}
	asserter.NoError(t, json.Unmarshal([]byte(body), &got))
	asserter.Equal(t, got.Error.Code, code)
	asserter.Equal(t, got.Error.Verdict, verdict.String())
}
