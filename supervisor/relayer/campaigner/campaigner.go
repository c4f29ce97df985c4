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
	// followerInterval is the time between two looks at the leader's grant while the leader
	// answers. One that cannot renew its grant asks for looks.
	followerInterval = 20 * buckthorndyke.Second
	// contestGrants is the number of leases for which a VM looks at the grant of a
	// leader that has not answered.
	contestGrants = 2
	// standbyWait is how long a VM in reserve leaves the lead to others.
	standbyWait = buckthorndyke.Second
	// resignTimeout bounds the call that gives the grant back.
	resignTimeout = 500 * buckthorndyke.Millisecond
	// renewalsPerGrant is the number of renewals in a lease.
	renewalsPerGrant = 3
)

// Campaigner is the task that renews the VM's grant, or takes the lead from a
// leader that no longer answers.
type Campaigner struct {
	clock    buckthorndyke.Clock
	election buckthorndyke.Election
	feed     *mailer.Feed[buckthorndyke.Term]
	grant    buckthorndyke.Millis
	logger   zerolog.Logger
	// losses brings the instants at which the leader did not answer.
	losses *mailer.Feed[buckthorndyke.Millis]
	// standby is set if the VM leaves the lead to others if it can.
	standby bool
}

// Option configures a Campaigner.
type Option func(*Campaigner)

// WithStandby makes the VM leave the lead to others if it can.
func WithStandby(reserve bool) Option {
	return func(c *Campaigner) { c.standby = reserve }
}

// New returns a campaigner that publishes the VM's standing to feed. It takes part
// at the start and after each of losses.
func New(
	election buckthorndyke.Election, lease buckthorndyke.Millis, losses *mailer.Feed[buckthorndyke.Millis],
	feed *mailer.Feed[buckthorndyke.Term], clock buckthorndyke.Clock, logger zerolog.Logger, opts ...Option,
) *Campaigner {
	c := &Campaigner{clock: clock, election: election, feed: feed, grant: lease, logger: logger, losses: losses}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Serve implements suture.Service. It resigns when ctx ends.
func (c *Campaigner) Serve(ctx context.Context) error {
	defer c.resign(context.WithoutCancel(ctx))
	losses := c.losses.Subscribe(ctx)
	var current buckthorndyke.Term
	failures := 0
	contestUntil := c.clock.Now() + contestGrants*c.grant
	if c.standby {
		c.pause(ctx, standbyWait)
	}
	for ctx.Err() == nil {
		next, err := c.election.Campaign(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			c.logFailure(current, failures, err)
			failures++
		default:
			c.logChange(current, next)
			if failures > 0 {
				c.logger.Info().EmbedObject(reporter.EventDependencyBack).Str("dependency", "election").Int("failures", failures).Send()
			}
			current, failures = next, 0
			if err := c.feed.Publish(ctx, next); err != nil {
				return err
			}
		}
		wait := followerInterval
		switch {
		case err != nil && !current.Leading:
			wait = c.grant
		case current.Leading || c.clock.Now() < contestUntil:
			wait = c.grant / renewalsPerGrant
		}
		select {
		case <-ctx.Done():
		case <-losses:
			contestUntil = c.clock.Now() + contestGrants*c.grant
			c.waitAfterLoss(ctx, current.Leading, err != nil)
		case <-c.clock.After(wait):
		}
	}
	return ctx.Err()
}

// waitAfterLoss waits before the VM looks at a grant after a loss: for others if it is
// in reserve, longer if the election does not answer, and in any case no less than
// between two looks.
func (c *Campaigner) waitAfterLoss(ctx context.Context, leading, failing bool) {
	wait := c.grant / renewalsPerGrant / 2
	switch {
	case leading:
	case failing:
		wait = c.grant
	case c.standby:
		wait = standbyWait
	}
	c.pause(ctx, wait)
}

// logChange logs a change of the VM's standing.
func (c *Campaigner) logChange(old, next buckthorndyke.Term) {
	if next.Leading == old.Leading && next.FencingToken == old.FencingToken {
		return
	}
	c.logger.Info().EmbedObject(reporter.EventTermChanged).Bool("leading", next.Leading).
		Int64("fence", next.FencingToken).Str("previous", next.PreviousLeader).Send()
}

// logFailure logs that a grant was not renewed, which then ends by itself, or for a
// VM that does not lead that the election does not answer.
func (c *Campaigner) logFailure(current buckthorndyke.Term, failures int, err error) {
	switch {
	case current.Leading:
		c.logger.Warn().EmbedObject(reporter.EventTermChanged).Bool("leading", true).
			Int64("left-ms", int64(current.Until-c.clock.Now())).Err(err).Send()
	case failures == 0:
		c.logger.Warn().EmbedObject(reporter.EventDependencyLost).Str("dependency", "election").Err(err).Send()
	}
}

// pause waits for d or until ctx ends.
func (c *Campaigner) pause(ctx context.Context, d buckthorndyke.Millis) {
	select {
	case <-ctx.Done():
	case <-c.clock.After(d):
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
