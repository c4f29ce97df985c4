package reporter_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

// writtenLines is larger than the capacity of the queue.
const writtenLines = 20_000

func TestQueue(t *testing.T) {
	t.Run("a blocked output does not block writers, and drops are reported", func(t *testing.T) {
		blocked := &blockedWriter{unblock: make(chan struct{})}
		dropped := make(chan int, writtenLines)
		q := reporter.NewQueue(blocked, func(n int) { dropped <- n })
		for range writtenLines {
			_, err := q.Write([]byte("line\n"))
			asserter.NoError(t, err)
		}
		close(blocked.unblock)
		asserter.True(t, <-dropped > 0, "no drop was reported")
	})
}

// blockedWriter blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return len(p), nil
}
