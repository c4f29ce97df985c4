// Package responder serves the calls of peers over the Connect protocol. It owns the
// socket, decodes the calls, passes them to a buckthorndyke.Peer and encodes the
// replies.
package responder

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire/wireconnect"
)

// Limits of the peer interface.
const (
	headerTimeout  = 5 * buckthorndyke.Second
	messageLimit   = 64 << 20 // bytes; enough for a snapshot of a fleet of the target size
	shutdownPeriod = 5 * buckthorndyke.Second
)

// Responder is the task that serves peers.
type Responder struct {
	address  string
	handler  http.Handler
	key      string
	listener net.Listener
}

// Option configures a Responder.
type Option func(*Responder)

// WithListener makes the responder serve on l, which it then owns, instead of opening
// its own socket.
func WithListener(l net.Listener) Option {
	return func(r *Responder) { r.listener = l }
}

// New returns a responder that serves at address and passes calls to peer. It accepts
// calls with key as their bearer token. The encoder is used for snapshots.
func New(address, key string, peer buckthorndyke.Peer, encoder buckthorndyke.Encoder, opts ...Option) *Responder {
	_, handler := wireconnect.NewPeerServiceHandler(
		&service{encoder: encoder, peer: peer}, connect.WithReadMaxBytes(messageLimit))
	return newResponder(address, key, handler, opts)
}

// NewRelayResponder returns a responder for a relaying VM. It passes the calls that
// only the leader serves to leader, and the calls about directory records, which each
// VM serves, to directory.
func NewRelayResponder(
	address, key string, leader wireconnect.LeaderServiceHandler, directory wireconnect.SiblingServiceHandler, opts ...Option,
) *Responder {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewLeaderServiceHandler(leader, connect.WithReadMaxBytes(messageLimit)))
	mux.Handle(wireconnect.NewSiblingServiceHandler(directory, connect.WithReadMaxBytes(messageLimit)))
	return newResponder(address, key, mux, opts)
}

func newResponder(address, key string, handler http.Handler, opts []Option) *Responder {
	r := &Responder{address: address, handler: handler, key: key}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Handler returns the HTTP handler of the peer interface.
func (r *Responder) Handler() http.Handler {
	return r.authenticate(r.handler)
}

// Serve implements suture.Service.
func (r *Responder) Serve(ctx context.Context) error {
	l := r.listener
	r.listener = nil
	if l == nil {
		var err error
		if l, err = new(net.ListenConfig).Listen(ctx, "tcp", r.address); err != nil {
			return errors.Wrap(err, "listen for connections from peers")
		}
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	server := &http.Server{
		BaseContext:       func(net.Listener) context.Context { return ctx },
		Handler:           r.Handler(),
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout.Duration(),
	}
	stop := context.AfterFunc(ctx, func() {
		deadline, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownPeriod.Duration())
		defer cancel()
		if server.Shutdown(deadline) != nil {
			_ = server.Close()
		}
	})
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve peers over HTTP")
	}
	return ctx.Err()
}

// authenticate refuses requests that do not carry the fleet's key as bearer token.
func (r *Responder) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		token, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(token), []byte(r.key)) != 1 {
			http.Error(w, "unauthenticated", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, req)
	})
}
