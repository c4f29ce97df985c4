package listener

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/authenticator"
)

// headerRequestID is the response header that carries the request ID.
const headerRequestID = "X-Request-Id"

// endOfStream is the last event of a complete stream.
const endOfStream = "data: [DONE]\n\n"

// chat handles requests for chat completions.
func (l *Listener) chat(ctx iris.Context) {
	l.generate(ctx, chatFormat{})
}

// complete handles requests for text completions.
func (l *Listener) complete(ctx iris.Context) {
	l.generate(ctx, textFormat{})
}

// authenticate returns the caller that the request's bearer token belongs to.
func (l *Listener) authenticate(ctx iris.Context) (buckthorndyke.CallerRule, error) {
	key := authenticator.BearerKey(ctx.Request().Header.Values("Authorization"))
	if key == "" {
		return buckthorndyke.CallerRule{}, buckthorndyke.NewRefusal(
			buckthorndyke.CodeUnauthenticated, buckthorndyke.NotRun, "the request has no bearer token; expected the header Authorization: Bearer TOKEN")
	}
	return l.gateway.Authenticate(ctx.Request().Context(), buckthorndyke.NewCredential(key))
}

// decode returns the validated body of a completion request.
func (l *Listener) decode(ctx iris.Context) (generateBody, error) {
	var body generateBody
	reader := http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, l.limits.Body)
	if err := json.NewDecoder(reader).Decode(&body); err != nil {
		return body, unreadableBody(err)
	}
	return body, body.validate()
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
	ctx.Header(headerRequestID, id)
	requestCtx, cancel := context.WithTimeout(ctx.Request().Context(), l.limits.Request.Duration())
	defer cancel()
	stream, err := l.gateway.Generate(requestCtx, buckthorndyke.GenerateRequest{
		Caller:    caller,
		ID:        buckthorndyke.RequestID(id),
		MaxTokens: body.maxTokens(),
		Model:     buckthorndyke.ModelID(body.Model),
		Prompt:    body.prompt(),
	})
	if err != nil {
		writeRefusal(ctx, buckthorndyke.RefusalOf(err))
		return
	}
	defer func() { _ = stream.Close() }()
	w := responseWriter{created: int64(l.clock.Now() / buckthorndyke.Second), format: format, id: id, maxTokens: body.maxTokens(), model: body.Model}
	if body.Stream {
		w.writeStream(requestCtx, ctx, stream)
		return
	}
	w.writeUnstreamed(requestCtx, ctx, stream)
}

// responseWriter writes the response to one completion request.
type responseWriter struct {
	// created is in seconds since the Unix epoch.
	created    int64
	format     format
	id         string
	maxTokens  int
	model      string
	sentTokens int
}

// finishReason returns why the completion ended.
func (w *responseWriter) finishReason() string {
	if w.maxTokens > 0 && w.sentTokens >= w.maxTokens {
		return finishLength
	}
	return finishStop
}

// writeStream sends each token as a server-sent event. The status line is not
// sent before the first token is known, so that a refused request gets an error
// status.
func (w *responseWriter) writeStream(ctx context.Context, out iris.Context, stream buckthorndyke.TokenStream) {
	token, err := stream.Next(ctx)
	if err != nil {
		writeRefusal(out, buckthorndyke.RefusalOf(err))
		return
	}
	out.ContentType("text/event-stream")
	out.Header("Cache-Control", "no-store")
	for !token.Last {
		w.sentTokens++
		if !writeEvent(out, w.format.tokenChunk(w, token.Text)) {
			return
		}
		if token, err = stream.Next(ctx); err != nil {
			writeEvent(out, errorBodyOf(buckthorndyke.RefusalOf(err)))
			return
		}
	}
	if writeEvent(out, w.format.finalChunk(w)) {
		_, _ = out.WriteString(endOfStream)
		out.ResponseWriter().Flush()
	}
}

// writeUnstreamed collects all tokens and sends them in one response.
func (w *responseWriter) writeUnstreamed(ctx context.Context, out iris.Context, stream buckthorndyke.TokenStream) {
	var text strings.Builder
	for {
		token, err := stream.Next(ctx)
		if err != nil {
			writeRefusal(out, buckthorndyke.RefusalOf(err))
			return
		}
		if token.Last {
			out.Header(headerVerdict, buckthorndyke.Ran.String())
			_ = out.JSON(w.format.unstreamedResponse(w, text.String()))
			return
		}
		w.sentTokens++
		text.WriteString(token.Text)
	}
}

// writeEvent sends body as one server-sent event. It returns false if the event
// could not be sent, for example because the caller has disconnected.
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
