// Package reloader notices that the settings file has changed, with or without a
// signal.
package reloader

import (
	"bytes"
	"context"
	"os"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

// pollInterval is the time between two looks at the file without a signal.
const pollInterval = 2 * buckthorndyke.Second

// Reloader is the task that rereads the settings. A file with faults changes
// nothing.
type Reloader struct {
	apply   func(data []byte) error
	clock   buckthorndyke.Clock
	logger  zerolog.Logger
	read    func() ([]byte, error)
	signals <-chan os.Signal
}

// New returns a reloader that hands the content of the file that read returns to
// apply whenever it has changed. A signal from asks makes it look at once. An error of apply is logged; the settings then
// stay as they are.
func New(
	read func() ([]byte, error), apply func(data []byte) error, asks <-chan os.Signal, clock buckthorndyke.Clock, logger zerolog.Logger,
) *Reloader {
	return &Reloader{apply: apply, signals: asks, clock: clock, logger: logger, read: read}
}

// Serve implements suture.Service.
func (r *Reloader) Serve(ctx context.Context) error {
	current, err := r.read()
	if err != nil {
		r.logger.Warn().EmbedObject(reporter.EventSettingsRejected).Err(err).Send()
	}
	for {
		asked := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.signals:
			asked = true
		case <-r.clock.After(pollInterval):
		}
		current = r.reload(current, asked)
	}
}

// reload rereads the file and returns its content.
func (r *Reloader) reload(current []byte, asked bool) []byte {
	next, err := r.read()
	if err != nil {
		r.logger.Warn().EmbedObject(reporter.EventSettingsRejected).Bool("asked", asked).Err(err).Send()
		return current
	}
	if bytes.Equal(next, current) {
		if asked {
			r.logger.Info().EmbedObject(reporter.EventSettingsReloaded).Bool("asked", asked).Bool("changed", false).Send()
		}
		return current
	}
	if err := r.apply(next); err != nil {
		r.logger.Warn().EmbedObject(reporter.EventSettingsRejected).Bool("asked", asked).Err(err).Send()
		return next
	}
	r.logger.Info().EmbedObject(reporter.EventSettingsReloaded).Bool("asked", asked).Bool("changed", true).Send()
	return next
}
