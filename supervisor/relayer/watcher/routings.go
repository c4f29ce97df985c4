package watcher

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// waitParts is the part of the limit for changes that one call waits for one. A
	// connection that has gone silent is noticed that much later, and the call is
	// then made once more.
	waitParts = 2
	// retryFirst and retryLimit bound the time between two calls that fail.
	retryFirst = 50 * buckthorndyke.Millisecond
	retryLimit = 400 * buckthorndyke.Millisecond
)

// Routings is the task that follows the configuration. It never goes back to an
// older one.
type Routings struct {
	clock     buckthorndyke.Clock
	directory buckthorndyke.Directory
	feed      *mailer.Feed[buckthorndyke.Routing]
	limit     buckthorndyke.Millis
	logger    zerolog.Logger
}

// NewRoutings returns a task that publishes each configuration to feed. A change
// has to be in force within limit.
func NewRoutings(
	directory buckthorndyke.Directory, feed *mailer.Feed[buckthorndyke.Routing], limit buckthorndyke.Millis,
	clock buckthorndyke.Clock, logger zerolog.Logger,
) *Routings {
	return &Routings{clock: clock, directory: directory, feed: feed, limit: limit, logger: logger}
}

// Serve implements suture.Service.
func (r *Routings) Serve(ctx context.Context) error {
	var current buckthorndyke.Routing
	outage := outage{logger: r.logger, name: "configuration"}
	for ctx.Err() == nil {
		next, changed, err := r.directory.Routing(ctx, r.limit/waitParts)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-r.clock.After(outage.failed(err)):
			}
			continue
		}
		outage.succeeded()
		if !changed || next.Version <= current.Version {
			continue
		}
		current = next
		r.logger.Info().EmbedObject(reporter.EventRoutingInForce).
			Int64("version", next.Version).Int("routes", next.Routes()).Send()
		if err := r.feed.Publish(ctx, next); err != nil {
			return err
		}
	}
	return ctx.Err()
}
