// Package connector implements the root package's client interfaces over HTTP: to
// the platform, to runners, to plain services and to other entry VMs. The verdict
// of an error is NotRun only if no byte of the request can have left this process,
// if the server has reported it, or if the request itself runs nothing, such as a
// request for a ticket.
package connector

import (
	"context"
	"net"
	"net/http"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/gatherer"
	"github.com/buckthorndyke/buckthorndyke/inspector"
)

// Defaults of the options, with sizes in bytes, and limits of connections.
const (
	defaultBodyLimit   = 8 << 20
	defaultDialTimeout = 2 * buckthorndyke.Second
	defaultHeaderLimit = 64 << 10
	// idleTimeout is shorter than the idle timeout of most servers, so that few
	// requests are sent on a connection that the server is about to close.
	idleTimeout     = 20 * buckthorndyke.Second
	maxIdlePerHost  = 64
	keepAlivePeriod = 15 * buckthorndyke.Second
)

// Option configures a client.
type Option func(*options)

type options struct {
	bodyLimit   int64
	dialTimeout buckthorndyke.Millis
	headerLimit int64
	memory      buckthorndyke.MemoryAccount
}

// WithBodyLimit limits the body of a request and of a response to n bytes.
func WithBodyLimit(n int64) Option {
	return func(o *options) { o.bodyLimit = n }
}

// WithDialTimeout limits the time to establish a connection to d.
func WithDialTimeout(d buckthorndyke.Millis) Option {
	return func(o *options) { o.dialTimeout = d }
}

// WithHeaderLimit limits the header of a response to n bytes.
func WithHeaderLimit(n int64) Option {
	return func(o *options) { o.headerLimit = n }
}

// WithMemory reserves memory for the bodies of responses from account.
func WithMemory(account buckthorndyke.MemoryAccount) Option {
	return func(o *options) { o.memory = account }
}

func newOptions(opts []Option) options {
	o := options{
		bodyLimit: defaultBodyLimit, dialTimeout: defaultDialTimeout, headerLimit: defaultHeaderLimit, memory: gatherer.Unlimited{},
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// newHTTPClient returns a client that follows no redirects and uses no proxy.
// Without keepAlive, it uses a new connection for each request.
func newHTTPClient(o options, keepAlive bool) *http.Client {
	dialer := &net.Dialer{KeepAlive: keepAlivePeriod.Duration(), Timeout: o.dialTimeout.Duration()}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		switch {
		case err != nil:
			return nil, err
		case keepAlive:
			return inspector.NewConn(conn), nil
		default:
			return inspector.NewHeadConn(inspector.NewConn(conn), int(o.headerLimit)), nil
		}
	}
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: inspector.NewTransport(&http.Transport{
			DialContext:            dial,
			DisableCompression:     true,
			DisableKeepAlives:      !keepAlive,
			IdleConnTimeout:        idleTimeout.Duration(),
			MaxIdleConns:           0,
			MaxIdleConnsPerHost:    maxIdlePerHost,
			MaxResponseHeaderBytes: o.headerLimit,
		}),
	}
}
