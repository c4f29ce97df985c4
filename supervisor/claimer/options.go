package claimer

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/adjudicator"
)

// Defaults.
const (
	defaultClaimTimeout       = 5 * buckthorndyke.Second
	defaultCoordinatorTimeout = 2 * buckthorndyke.Second
	defaultSettleRetryPeriod  = 10 * buckthorndyke.Minute
	defaultSettleTimeout      = 1 * buckthorndyke.Second
	defaultShards             = 4
)

// Option configures a Claimer.
type Option func(*options)

type options struct {
	claimTimeout       buckthorndyke.Millis
	coordinatorTimeout buckthorndyke.Millis
	keyLifetime        buckthorndyke.Millis
	settleRetryPeriod  buckthorndyke.Millis
	settleTimeout      buckthorndyke.Millis
	shards             int
}

// WithClaimTimeout bounds the time until a claim gets a reply or is refused.
func WithClaimTimeout(d buckthorndyke.Millis) Option {
	return func(o *options) { o.claimTimeout = d }
}

// WithCoordinatorTimeout bounds the time that one coordinator has to reply.
func WithCoordinatorTimeout(d buckthorndyke.Millis) Option {
	return func(o *options) { o.coordinatorTimeout = d }
}

// WithKeyLifetime sets the age above which keys are refused. The log must retain
// records for longer than that plus twice adjudicator.KeyTolerance.
func WithKeyLifetime(d buckthorndyke.Millis) Option {
	return func(o *options) { o.keyLifetime = d }
}

// WithSettleRetryPeriod bounds the time for which the claimer tries to append the record
// of an outcome.
func WithSettleRetryPeriod(d buckthorndyke.Millis) Option {
	return func(o *options) { o.settleRetryPeriod = d }
}

// WithSettleTimeout bounds the time for which Settle waits for the record of the
// outcome.
func WithSettleTimeout(d buckthorndyke.Millis) Option {
	return func(o *options) { o.settleTimeout = d }
}

// WithShards sets the number of claims streams. It must be the same on all VMs.
func WithShards(n int) Option {
	return func(o *options) { o.shards = n }
}

// newOptions returns the defaults with opts applied.
func newOptions(opts []Option) options {
	o := options{
		claimTimeout:       defaultClaimTimeout,
		coordinatorTimeout: defaultCoordinatorTimeout,
		keyLifetime:        adjudicator.DefaultKeyLifetime,
		settleRetryPeriod:  defaultSettleRetryPeriod,
		settleTimeout:      defaultSettleTimeout,
		shards:             defaultShards,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
