// Package campaigner takes part in the election of the VM that gives orders to
// the runners.
package campaigner

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// resignTimeout bounds the call that gives the grant back.
	resignTimeout = 500 * buckthorndyke.Millisecond
	// renewals is the number of renewals in a lease.
	renewals = 3
)

// Campaigner is the task that renews the VM's grant.
type Campaigner struct {
	clock    buckthorndyke.Clock
	election buckthorndyke.Election
	feed     *mailer.Feed[buckthorndyke.Term]
	lease    buckthorndyke.Millis
	logger   zerolog.Logger
}

// New returns a campaigner that publishes the VM's standing to feed.
func New(
	election buckthorndyke.Election, lease buckthorndyke.Millis, feed *mailer.Feed[buckthorndyke.Term],
	clock buckthorndyke.Clock, logger zerolog.Logger,
) *Campaigner {
	return &Campaigner{clock: clock, election: election, feed: feed, lease: lease, logger: logger}
}

// Serve implements suture.Service. It resigns when ctx ends.
func (c *Campaigner) Serve(ctx context.Context) error {
	defer c.resign(context.WithoutCancel(ctx))
	var current buckthorndyke.Term
	for ctx.Err() == nil {
		term, err := c.election.Campaign(ctx)
		if err != nil {
			// A grant that is not renewed ends by itself.
			c.logger.Warn().EmbedObject(reporter.EventTermChanged).Bool("leading", current.Leading).
				Int64("left-ms", int64(current.Until-c.clock.Now())).Err(err).Send()
		} else {
			if term.Leading != current.Leading || term.Fence != current.Fence {
				c.logger.Info().EmbedObject(reporter.EventTermChanged).Bool("leading", term.Leading).
					Int64("fence", term.Fence).Send()
			}
			current = term
			if err := c.feed.Publish(ctx, term); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
		case <-c.clock.After(c.lease / renewals):
		}
	}
	return ctx.Err()
}

// resign gives the grant back, so that a successor need not wait for its end.
func (c *Campaigner) resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout.Duration())
	defer cancel()
	if err := c.election.Resign(ctx); err != nil {
		c.logger.Warn().EmbedObject(reporter.EventTermChanged).Bool("leading", false).Err(err).Send()
	}
}
