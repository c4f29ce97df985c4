package reporter

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// queueLines bounds the lines of the log that wait to be written.
const queueCapacity = 4096

// NewQueue returns a writer that hands lines to w and never waits for it: while w
// does not keep up, the oldest lines that wait are dropped, and dropped is told
// their number once w goes on.
func NewQueue(w io.Writer, dropped func(lines int)) io.WriteCloser {
	return diode.NewWriter(w, queueCapacity, 0, diode.Alerter(dropped))
}
