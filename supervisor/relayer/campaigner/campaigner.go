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
	// lookEvery is the time between two looks whether there is a leader, of a VM
	// that takes part only if there is none.
	lookEvery = 5 * buckthorndyke.Second
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
	// reserve is set if the VM takes part only if there is no leader.
	reserve bool
}

// Option configures a Campaigner.
type Option func(*Campaigner)

// WithReserve makes the VM take part only once there is no leader.
func WithReserve(reserve bool) Option {
	return func(c *Campaigner) { c.reserve = reserve }
}

// New returns a campaigner that publishes the VM's standing to feed.
func New(
	election buckthorndyke.Election, lease buckthorndyke.Millis, feed *mailer.Feed[buckthorndyke.Term],
	clock buckthorndyke.Clock, logger zerolog.Logger, opts ...Option,
) *Campaigner {
	c := &Campaigner{clock: clock, election: election, feed: feed, lease: lease, logger: logger}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Serve implements suture.Service. It resigns when ctx ends.
func (c *Campaigner) Serve(ctx context.Context) error {
	if c.reserve {
		c.awaitVacancy(ctx)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
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

// awaitVacancy waits until there is no leader.
func (c *Campaigner) awaitVacancy(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(lookEvery):
		}
		_, ok, err := c.election.Leader(ctx)
		switch {
		case err != nil:
			c.logger.Info().EmbedObject(reporter.EventDependencyLost).Str("dependency", "election").Err(err).Send()
		case !ok:
			return
		}
	}
}

// resign gives the grant back, so that a successor need not wait for its end.
func (c *Campaigner) resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout.Duration())
	defer cancel()
	if err := c.election.Resign(ctx); err != nil {
		c.logger.Warn().EmbedObject(reporter.EventTermChanged).Bool("leading", false).Err(err).Send()
	}
}
