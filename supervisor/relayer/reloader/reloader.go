// Package reloader rereads the settings file when it changes or when the process gets a
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

// pollInterval is the time between two reads of the file without a signal.
const pollInterval = 2 * buckthorndyke.Second

// Reloader is the task that rereads the settings. An invalid file changes nothing.
type Reloader struct {
	apply   func(data []byte) error
	clock   buckthorndyke.Clock
	logger  zerolog.Logger
	read    func() ([]byte, error)
	signals <-chan os.Signal
}

// New returns a reloader that calls apply with the content that read returns whenever it
// has changed. A signal from signals makes it read at once. If apply returns an error, the
// error is logged and the settings stay as they are.
func New(
	read func() ([]byte, error), apply func(data []byte) error, signals <-chan os.Signal, clock buckthorndyke.Clock, logger zerolog.Logger,
) *Reloader {
	return &Reloader{apply: apply, clock: clock, logger: logger, read: read, signals: signals}
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

// reload rereads the file, applies a change and returns the content.
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
