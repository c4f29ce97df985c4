package reporter

import (
	"io"

	"github.com/rs/zerolog/diode"
)

// queueCapacity is the maximum number of log lines that wait to be written.
const queueCapacity = 4096

// NewQueue returns a writer that passes lines to w and never blocks: while w is too
// slow, the oldest waiting lines are dropped. Once w accepts lines again, onDrop is
// called with the number of dropped lines.
func NewQueue(w io.Writer, onDrop func(lines int)) io.WriteCloser {
	return diode.NewWriter(w, queueCapacity, 0, diode.Alerter(onDrop))
}
