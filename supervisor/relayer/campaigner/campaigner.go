// Package campaigner takes part in the election of the leader, which sends orders to the
// runners.
package campaigner

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// followerInterval is the time between two reads of the leader's grant while the leader
	// replies. A leader that cannot renew its grant makes the other VMs read it earlier.
	followerInterval = 20 * buckthorndyke.Second
	// contestGrants is the duration, in grants, for which a VM often reads the grant of a
	// leader that has not replied.
	contestGrants = 2
	// standbyWait is how long a standby VM waits for another VM to take the lead.
	standbyWait = buckthorndyke.Second
	// resignTimeout bounds the call that gives the grant back.
	resignTimeout = 500 * buckthorndyke.Millisecond
	// renewalsPerGrant is the number of renewals during a grant.
	renewalsPerGrant = 3
)

// Campaigner is the task that renews the VM's grant, or takes the lead when the leader no
// longer renews its own.
type Campaigner struct {
	clock    buckthorndyke.Clock
	election buckthorndyke.Election
	feed     *mailer.Feed[buckthorndyke.Term]
	// found delivers the instants at which a leader has replied, or is nil.
	found  *mailer.Feed[buckthorndyke.Millis]
	grant  buckthorndyke.Millis
	logger zerolog.Logger
	// losses delivers the instants at which the leader did not reply.
	losses *mailer.Feed[buckthorndyke.Millis]
	// standby is set if the VM takes the lead only when no other VM does.
	standby bool
}

// Option configures a Campaigner.
type Option func(*Campaigner)

// WithFound makes a VM stop contesting the lead once found delivers the instant at which a
// leader has replied.
func WithFound(found *mailer.Feed[buckthorndyke.Millis]) Option {
	return func(c *Campaigner) { c.found = found }
}

// WithStandby sets whether the VM takes the lead only when no other VM does.
func WithStandby(standby bool) Option {
	return func(c *Campaigner) { c.standby = standby }
}

// New returns a campaigner that publishes the VM's term to feed. A grant lasts for grant.
// The campaigner takes part in the election at the start and after each of losses.
func New(
	election buckthorndyke.Election, grant buckthorndyke.Millis, losses *mailer.Feed[buckthorndyke.Millis],
	feed *mailer.Feed[buckthorndyke.Term], clock buckthorndyke.Clock, logger zerolog.Logger, opts ...Option,
) *Campaigner {
	c := &Campaigner{clock: clock, election: election, feed: feed, grant: grant, logger: logger, losses: losses}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Serve implements suture.Service. It resigns when ctx ends.
func (c *Campaigner) Serve(ctx context.Context) error {
	defer c.resign(context.WithoutCancel(ctx))
	losses := c.losses.Subscribe(ctx)
	var found <-chan buckthorndyke.Millis
	if c.found != nil {
		found = c.found.Subscribe(ctx)
	}
	var current buckthorndyke.Term
	failures := 0
	var lostAt buckthorndyke.Millis
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
		waiting := true
		for waiting {
			select {
			case <-ctx.Done():
				waiting = false
			case at := <-found:
				if at >= lostAt {
					contestUntil = 0
				}
			case lostAt = <-losses:
				contestUntil = c.clock.Now() + contestGrants*c.grant
				c.waitAfterLoss(ctx, current.Leading, err != nil)
				waiting = false
			case <-c.clock.After(c.nextIn(current, err, contestUntil)):
				waiting = false
			}
		}
	}
	return ctx.Err()
}

// logChange logs a change of the VM's term.
func (c *Campaigner) logChange(old, next buckthorndyke.Term) {
	if next.Leading == old.Leading && next.FencingToken == old.FencingToken {
		return
	}
	c.logger.Info().EmbedObject(reporter.EventTermChanged).Bool("leading", next.Leading).
		Int64("fence", next.FencingToken).Str("previous", next.PreviousLeader).Send()
}

// logFailure logs each failed renewal of the leader's grant, which expires without one. On
// a VM that does not lead it logs the first failure of the election.
func (c *Campaigner) logFailure(current buckthorndyke.Term, failures int, err error) {
	switch {
	case current.Leading:
		c.logger.Warn().EmbedObject(reporter.EventTermChanged).Bool("leading", true).
			Int64("left-ms", int64(current.Until-c.clock.Now())).Err(err).Send()
	case failures == 0:
		c.logger.Warn().EmbedObject(reporter.EventDependencyLost).Str("dependency", "election").Err(err).Send()
	}
}

// nextIn returns the time until the next campaign. The VM contests the lead until
// contestUntil.
func (c *Campaigner) nextIn(current buckthorndyke.Term, err error, contestUntil buckthorndyke.Millis) buckthorndyke.Millis {
	switch {
	case err != nil && !current.Leading:
		return c.grant
	case current.Leading || c.clock.Now() < contestUntil:
		return c.grant / renewalsPerGrant
	default:
		return followerInterval
	}
}

// pause waits for d or until ctx ends.
func (c *Campaigner) pause(ctx context.Context, d buckthorndyke.Millis) {
	select {
	case <-ctx.Done():
	case <-c.clock.After(d):
	}
}

// resign gives the grant back, so that the next leader need not wait until it expires.
func (c *Campaigner) resign(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout.Duration())
	defer cancel()
	if err := c.election.Resign(ctx); err != nil {
		c.logger.Warn().EmbedObject(reporter.EventTermChanged).Bool("leading", false).Err(err).Send()
	}
}

// waitAfterLoss waits after a loss before the VM reads the grant: longer on a standby VM, so
// that others take the lead, and while the election fails, but at least half of the time
// between two renewals.
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
