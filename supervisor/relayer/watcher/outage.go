package watcher

import (
	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

// outage tracks failed calls to one dependency. It logs the first failure and the
// recovery.
type outage struct {
	failures int
	logger   zerolog.Logger
	name     string
	wait     buckthorndyke.Millis
}

// failed records a failed call and returns the wait before the next one.
func (o *outage) failed(err error) buckthorndyke.Millis {
	if o.failures == 0 {
		o.logger.Warn().EmbedObject(reporter.EventDependencyLost).Str("dependency", o.name).Err(err).Send()
		o.wait = firstRetryWait
	}
	o.failures++
	wait := o.wait
	o.wait = min(2*o.wait, maxRetryWait)
	return wait
}

// succeeded records a successful call.
func (o *outage) succeeded() {
	if o.failures > 0 {
		o.logger.Info().EmbedObject(reporter.EventDependencyBack).Str("dependency", o.name).Int("failures", o.failures).Send()
	}
	o.failures = 0
}
