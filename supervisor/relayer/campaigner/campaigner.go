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
	// lookFirst and lookLimit bound the time between two looks whether there is a
	// leader, of a VM that does not take part.
	lookFirst = 700 * buckthorndyke.Millisecond
	lookLimit = 6 * buckthorndyke.Second
	// resignTimeout bounds the call that gives the grant back.
	resignTimeout = 500 * buckthorndyke.Millisecond
	// stayOut is how long a new VM does not take part while there is a leader:
	// each change of the members may move the lead.
	stayOut = 30 * buckthorndyke.Second
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
	reserve := c.reserve
	for ctx.Err() == nil {
		c.awaitVacancy(ctx, reserve)
		if err := c.campaign(ctx); err != nil {
			return err
		}
		// A VM that was out of contact would only unseat the leader.
		reserve = true
	}
	return ctx.Err()
}

// awaitVacancy waits until there is no leader or, unless the VM is in reserve,
// for some time at most.
func (c *Campaigner) awaitVacancy(ctx context.Context, reserve bool) {
	limit := c.clock.Now() + stayOut
	wait := lookFirst
	for reserve || c.clock.Now() < limit {
		_, ok, err := c.election.Leader(ctx)
		switch {
		case ctx.Err() != nil, err == nil && !ok:
			return
		case err == nil:
			// Another VM leads.
			if c.feed.Publish(ctx, buckthorndyke.Term{}) != nil {
				return
			}
		case err != nil:
			c.logger.Info().EmbedObject(reporter.EventDependencyLost).Str("dependency", "election").Err(err).Send()
		}
		select {
		case <-ctx.Done():
		case <-c.clock.After(wait):
		}
		wait = min(2*wait, lookLimit)
	}
}

// campaign renews the VM's grant until ctx ends or no renewal has succeeded for
// the time of a grant.
func (c *Campaigner) campaign(ctx context.Context) error {
	defer c.resign(context.WithoutCancel(ctx))
	current := buckthorndyke.Term{Until: c.clock.Now() + c.lease}
	for ctx.Err() == nil {
		term, err := c.election.Campaign(ctx)
		switch {
		case err != nil:
			// A grant that is not renewed ends by itself.
			c.logger.Warn().EmbedObject(reporter.EventTermChanged).Bool("leading", current.Leading).
				Int64("left-ms", int64(current.Until-c.clock.Now())).Err(err).Send()
			if c.clock.Now() >= current.Until+c.lease {
				return nil
			}
		case term.Leading != current.Leading || term.Fence != current.Fence:
			c.logger.Info().EmbedObject(reporter.EventTermChanged).Bool("leading", term.Leading).
				Int64("fence", term.Fence).Send()
			fallthrough
		default:
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
