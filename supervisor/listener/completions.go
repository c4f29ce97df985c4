package listener

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"github.com/buckthorndyke/buckthorndyke"
)

// headerRequest names the header that carries the request's id.
const headerRequest = "X-Request-Id"

// endOfStream is the last event of a stream that is whole.
const endOfStream = "data: [DONE]\n\n"

// chat serves a chat completion.
func (l *Listener) chat(ctx iris.Context) {
	l.generate(ctx, chatFormat{})
}

// complete serves a text completion.
func (l *Listener) complete(ctx iris.Context) {
	l.generate(ctx, textFormat{})
}

// authenticate returns the caller that sent the request.
func (l *Listener) authenticate(ctx iris.Context) (buckthorndyke.CallerRule, error) {
	token, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	if !ok || token == "" {
		return buckthorndyke.CallerRule{}, buckthorndyke.NewRefusal(
			buckthorndyke.CodeUnauthenticated, buckthorndyke.NotRun, "the request has no bearer token")
	}
	return l.gateway.Authenticate(ctx.Request().Context(), token)
}

// decode reads the body of a completion request.
func (l *Listener) decode(ctx iris.Context) (generateBody, error) {
	var body generateBody
	reader := http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, l.limits.Body)
	if err := json.NewDecoder(reader).Decode(&body); err != nil {
		return body, readRefusal(err)
	}
	return body, body.refusal()
}

// generate serves a completion in the given format.
func (l *Listener) generate(ctx iris.Context, format format) {
	caller, err := l.authenticate(ctx)
	if err != nil {
		writeRefusal(ctx, buckthorndyke.RefusalOf(err))
		return
	}
	body, err := l.decode(ctx)
	if err != nil {
		writeRefusal(ctx, buckthorndyke.RefusalOf(err))
		return
	}
	id := uuid.NewString()
	ctx.Header(headerRequest, id)
	deadline, cancel := context.WithTimeout(ctx.Request().Context(), l.limits.Request.Duration())
	defer cancel()
	stream, err := l.gateway.Generate(deadline, buckthorndyke.GenerateRequest{
		Caller:    caller,
		ID:        buckthorndyke.RequestID(id),
		MaxTokens: body.limit(),
		Model:     buckthorndyke.ModelID(body.Model),
		Prompt:    body.prompt(),
	})
	if err != nil {
		writeRefusal(ctx, buckthorndyke.RefusalOf(err))
		return
	}
	defer func() { _ = stream.Close() }()
	a := answer{created: int64(l.clock.Now() / buckthorndyke.Second), format: format, id: id, limit: body.limit(), model: body.Model}
	if body.Stream {
		a.writeStream(deadline, ctx, stream)
		return
	}
	a.writeWhole(deadline, ctx, stream)
}

// answer writes one answer.
type answer struct {
	// created is in seconds since the Unix epoch.
	created int64
	format  format
	id      string
	limit   int
	model   string
	sent    int
}

// finish returns why the answer ended.
func (a *answer) finish() string {
	if a.limit > 0 && a.sent >= a.limit {
		return finishLength
	}
	return finishStop
}

// writeStream sends each token as a server-sent event. The status line is sent
// with the first token, so that a request that was refused gets an error status.
func (a *answer) writeStream(ctx context.Context, out iris.Context, stream buckthorndyke.TokenStream) {
	token, err := stream.Next(ctx)
	if err != nil {
		writeRefusal(out, buckthorndyke.RefusalOf(err))
		return
	}
	out.ContentType("text/event-stream")
	out.Header("Cache-Control", "no-store")
	for !token.Last {
		a.sent++
		if !writeEvent(out, a.format.piece(a, token.Text)) {
			return
		}
		if token, err = stream.Next(ctx); err != nil {
			writeEvent(out, bodyOf(buckthorndyke.RefusalOf(err)))
			return
		}
	}
	if writeEvent(out, a.format.end(a)) {
		_, _ = out.WriteString(endOfStream)
		out.ResponseWriter().Flush()
	}
}

// writeWhole collects the tokens and sends the answer at once.
func (a *answer) writeWhole(ctx context.Context, out iris.Context, stream buckthorndyke.TokenStream) {
	var text strings.Builder
	for {
		token, err := stream.Next(ctx)
		if err != nil {
			writeRefusal(out, buckthorndyke.RefusalOf(err))
			return
		}
		if token.Last {
			out.Header(headerVerdict, buckthorndyke.Ran.String())
			_ = out.JSON(a.format.whole(a, text.String()))
			return
		}
		a.sent++
		text.WriteString(token.Text)
	}
}

// writeEvent sends body as one server-sent event and reports whether the caller
// is still there.
func writeEvent(out iris.Context, body any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	if _, err := out.Writef("data: %s\n\n", data); err != nil {
		return false
	}
	out.ResponseWriter().Flush()
	return true
}
