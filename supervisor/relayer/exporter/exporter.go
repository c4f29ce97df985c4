// Package exporter serves the metrics in the Prometheus text format. It owns the socket.
package exporter

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// contentType is the media type of the Prometheus text format.
	contentType = "text/plain; version=0.0.4"
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * buckthorndyke.Second
)

// Exporter is the task that serves the metrics.
type Exporter struct {
	address string
	text    func() []byte
}

// New returns an exporter that serves what text returns at address.
func New(address string, text func() []byte) *Exporter {
	return &Exporter{address: address, text: text}
}

// Serve implements suture.Service.
func (e *Exporter) Serve(ctx context.Context) error {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", e.address)
	if err != nil {
		return errors.Wrap(err, "listen for metrics scrapers")
	}
	server := &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout.Duration()}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve the metrics")
	}
	return ctx.Err()
}

// ServeHTTP implements http.Handler.
func (e *Exporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentType)
	// The scraper may have disconnected.
	_, _ = w.Write(e.text())
}
