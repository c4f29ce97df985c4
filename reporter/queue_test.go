package reporter_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

// lines is the number of lines that are written, more than wait.
const writtenLines = 20_000

func TestQueue(t *testing.T) {
	t.Run("a reader that has stopped holds up no writer, and drops are told", func(t *testing.T) {
		stopped := &blockedWriter{unblock: make(chan struct{})}
		dropped := make(chan int, writtenLines)
		q := reporter.NewQueue(stopped, func(n int) { dropped <- n })
		for range writtenLines {
			_, err := q.Write([]byte("line\n"))
			asserter.NoError(t, err)
		}
		close(stopped.unblock)
		asserter.True(t, <-dropped > 0, "no drop was told")
	})
}

// stoppedWriter is a reader of the log that stops until goOn is closed.
type blockedWriter struct {
	unblock chan struct{}
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return len(p), nil
}
