package connector_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/connector"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

func TestStream(t *testing.T) {
	const (
		first = `data: {"job":"j","index":0,"text":"a"}` + "\n\n"
		end   = `data: {"job":"j","index":1,"last":true}` + "\n\n"
	)
	for name, body := range map[string]string{
		"truncated before the end marker":    first,
		"truncated within the end marker":    first + `data: {"job":"j","index":1,"la`,
		"end marker without an empty line":   first + strings.TrimSuffix(end, "\n"),
		"repeated token":                     first + first + end,
		"token of another job":               first + `data: {"job":"i","index":1,"text":"b"}` + "\n\n" + end,
		"token without a job":                first + `data: {"index":1,"text":"b"}` + "\n\n" + end,
		"missing token":                      first + `data: {"job":"j","index":2,"last":true}` + "\n\n",
		"event that is not a token":          first + "data: hello\n\n" + end,
		"event without an end":               first + "data: " + strings.Repeat("x", 2<<20),
		"event of many lines without an end": first + strings.Repeat("data: x\n", 1<<20),
		"HTML instead of events":             first + "<html></html>",
	} {
		t.Run(name, func(t *testing.T) {
			texts, err := collect(t.Context(), open(t, body))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.Code(t, err, buckthorndyke.CodeEngineFailed)
			asserter.Equal(t, texts, []string{"a"})
		})
	}
	t.Run("complete with comments, other fields and CRLF", func(t *testing.T) {
		texts, err := collect(t.Context(), open(t, ": hi\r\n\r\nevent: token\r\n"+first+"id: 7\n\n"+end))
		asserter.NoError(t, err)
		asserter.Equal(t, texts, []string{"a"})
	})
	t.Run("no token is returned after the end marker", func(t *testing.T) {
		s := open(t, first+end+end)
		_, err := collect(t.Context(), s)
		asserter.NoError(t, err)
		_, err = s.Next(t.Context())
		asserter.Equal(t, err != nil, true)
	})
	t.Run("Close cancels the request to the engine", func(t *testing.T) {
		gone := make(chan struct{})
		engine := connector.NewHTTPEngine(serve(t, func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			close(gone)
		}))
		s, err := engine.Generate(t.Context(), job("j"))
		asserter.NoError(t, err)
		asserter.NoError(t, s.Close())
		<-gone
		_, err = s.Next(t.Context())
		asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
	})
	for name, faults := range map[string]standin.EngineFaults{
		"token of another job from the stand-in": {ForeignToken: true},
		"repeated token from the stand-in":       {DuplicateToken: true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := startStandIns(ctx)
			asserter.NoError(t, s.engine.SetFaults(ctx, faults))
			server := standin.NewEngineServer(loopback, s.engine)
			standin.Start(ctx, server)
			engine := connector.NewHTTPEngine(addressOf(ctx, t, server))
			texts, err := collect(ctx, generate(ctx, t, engine, job("j")))
			asserter.Code(t, err, buckthorndyke.CodeEngineFailed)
			asserter.Equal(t, texts, standin.ResponseTokens(model, prompt, 1))
		})
	}
}

// open returns the stream of a job whose response has the given body.
func open(t *testing.T, body string) buckthorndyke.TokenStream {
	t.Helper()
	engine := connector.NewHTTPEngine(serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(body))
	}))
	return generate(t.Context(), t, engine, job("j"))
}
