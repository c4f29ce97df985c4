// Package responder serves the peers' connect protocol. It owns the socket and
// hands each call to the task that it concerns.
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
	messageLimit   = 64 << 20 // bytes; a snapshot at the target size fits
	shutdownPeriod = 5 * buckthorndyke.Second
)

// Responder is the task that answers peers.
type Responder struct {
	address  string
	handler  http.Handler
	key      string
	listener net.Listener
}

// Option configures a Responder.
type Option func(*Responder)

// WithListener makes the responder serve on l, which it then owns.
func WithListener(l net.Listener) Option {
	return func(r *Responder) { r.listener = l }
}

// New returns a responder that serves at address, lets in peers that hold key
// and passes their calls on to peer.
func New(address, key string, peer buckthorndyke.Peer, encoder buckthorndyke.Encoder, opts ...Option) *Responder {
	_, handler := wireconnect.NewPeerServiceHandler(
		&service{encoder: encoder, peer: peer}, connect.WithReadMaxBytes(messageLimit))
	return newResponder(address, key, handler, opts)
}

// NewRelayResponder returns a responder that serves the calls to a relaying VM: those to
// the leading one, and those to each.
func NewRelayResponder(
	address, key string, leader wireconnect.LeaderServiceHandler, sibling wireconnect.SiblingServiceHandler, opts ...Option,
) *Responder {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewLeaderServiceHandler(leader, connect.WithReadMaxBytes(messageLimit)))
	mux.Handle(wireconnect.NewSiblingServiceHandler(sibling, connect.WithReadMaxBytes(messageLimit)))
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
			return errors.Wrap(err, "listen for peers")
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
		return errors.Wrap(err, "serve peers")
	}
	return ctx.Err()
}

// authenticate refuses requests that do not carry the fleet's key.
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
