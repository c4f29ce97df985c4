package drainer

import (
	"context"
	"net/http"
)

// AnnounceClose returns a handler that asks clients to close their connections in responses
// whose head is written after ctx has ended, also those to requests that came before.
func AnnounceClose(ctx context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := &announcer{ResponseWriter: w, stopping: ctx}
		next.ServeHTTP(a, r)
		a.announce()
	})
}

// announcer adds the announcement to the head of a response.
type announcer struct {
	http.ResponseWriter
	stopping context.Context
}

// Flush implements http.Flusher.
func (a *announcer) Flush() {
	a.announce()
	if f, ok := a.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap gives http.ResponseController access to the connection.
func (a *announcer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// Write implements http.ResponseWriter.
func (a *announcer) Write(p []byte) (int, error) {
	a.announce()
	return a.ResponseWriter.Write(p)
}

// WriteHeader implements http.ResponseWriter.
func (a *announcer) WriteHeader(status int) {
	a.announce()
	a.ResponseWriter.WriteHeader(status)
}

// announce has no effect once the head of the response has been written.
func (a *announcer) announce() {
	if a.stopping.Err() != nil {
		a.Header().Set("Connection", "close")
	}
}
