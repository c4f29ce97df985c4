// Package connector implements the root package's interfaces to the platform,
// to runners and to plain services over HTTP. An error says that a request has
// not run only if no byte of it can have left this process, or if the server
// has said so.
package connector

import (
	"net"
	"net/http"

	"github.com/buckthorndyke/buckthorndyke"
)

// Default limits of a connector.
const (
	defaultBodyLimit   = 8 << 20
	defaultDialTimeout = 2 * buckthorndyke.Second
	defaultHeaderLimit = 64 << 10
	// idleTimeout is shorter than servers usually keep idle connections, so that
	// few requests meet a connection that its server is closing.
	idleTimeout     = 20 * buckthorndyke.Second
	maxIdlePerHost  = 64
	keepAlivePeriod = 15 * buckthorndyke.Second
)

// Option configures a connector.
type Option func(*options)

type options struct {
	bodyLimit   int64
	dialTimeout buckthorndyke.Millis
	headerLimit int64
}

// WithBodyLimit bounds the body of a request and of an answer to n bytes.
func WithBodyLimit(n int64) Option {
	return func(o *options) { o.bodyLimit = n }
}

// WithDialTimeout bounds the time to connect.
func WithDialTimeout(d buckthorndyke.Millis) Option {
	return func(o *options) { o.dialTimeout = d }
}

// WithHeaderLimit bounds the header of an answer to n bytes.
func WithHeaderLimit(n int64) Option {
	return func(o *options) { o.headerLimit = n }
}

func newOptions(opts []Option) options {
	o := options{bodyLimit: defaultBodyLimit, dialTimeout: defaultDialTimeout, headerLimit: defaultHeaderLimit}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// newHTTPClient returns a client that follows no redirect and uses no proxy.
func newHTTPClient(o options, keepAlive bool) *http.Client {
	dialer := &net.Dialer{KeepAlive: keepAlivePeriod.Duration(), Timeout: o.dialTimeout.Duration()}
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true,
			DisableKeepAlives:      !keepAlive,
			IdleConnTimeout:        idleTimeout.Duration(),
			MaxIdleConns:           0,
			MaxIdleConnsPerHost:    maxIdlePerHost,
			MaxResponseHeaderBytes: o.headerLimit,
		},
	}
}
