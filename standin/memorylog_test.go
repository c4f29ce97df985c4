package standin_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

const stream = buckthorndyke.ControlStream

func TestMemoryLog(t *testing.T) {
	t.Run("a log that is down refuses as not run", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			log := startLog(ctx, clock)
			asserter.NoError(t, log.SetFaults(ctx, standin.LogFaults{Down: true}))
			_, err := log.Append(ctx, stream, []byte("a"))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.NoError(t, log.SetFaults(ctx, standin.LogFaults{}))
			assertTail(ctx, t, log, 0)
		})
	})
	t.Run("a log that goes down ends waiting reads", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			log := startLog(ctx, clock)
			failed := make(chan error)
			go func() {
				_, err := log.Read(ctx, stream, 1, buckthorndyke.Minute)
				failed <- err
			}()
			synctest.Wait()
			asserter.NoError(t, log.SetFaults(ctx, standin.LogFaults{Down: true}))
			asserter.Code(t, <-failed, buckthorndyke.CodeLogUnavailable)
		})
	})
	t.Run("an append whose reply is lost takes effect", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			log := startLog(ctx, clock)
			asserter.NoError(t, log.SetFaults(ctx, standin.LogFaults{LoseReplies: 1}))
			_, err := log.Append(ctx, stream, []byte("a"))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			offset, err := log.Append(ctx, stream, []byte("b"))
			asserter.NoError(t, err)
			asserter.Equal(t, offset, 2)
		})
	})
	t.Run("a delayed append takes effect after its caller has given up", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			log := startLog(ctx, clock)
			asserter.NoError(t, log.SetFaults(ctx, standin.LogFaults{Delay: 10 * buckthorndyke.Second}))
			short, cancel := context.WithTimeout(ctx, buckthorndyke.Second.Duration())
			defer cancel()
			_, err := log.Append(short, stream, []byte("a"))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			assertTail(ctx, t, log, 1)
		})
	})
	t.Run("a call whose context ends before it is sent is reported as not run", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			log := startLog(ctx, clock)
			gone, cancel := context.WithCancel(ctx)
			cancel()
			_, err := log.Append(gone, stream, []byte("a"))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
		})
	})
	t.Run("a read below the first retained record returns no entries", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			log := startLog(ctx, clock, standin.WithRetention(2))
			for _, data := range []string{"a", "b", "c"} {
				_, err := log.Append(ctx, stream, []byte(data))
				asserter.NoError(t, err)
			}
			batch, err := log.Read(ctx, stream, 1, buckthorndyke.Minute)
			asserter.NoError(t, err)
			asserter.Equal(t, batch, buckthorndyke.LogBatch{First: 2, Tail: 3})
			batch, err = log.Read(ctx, stream, 2, 0)
			asserter.NoError(t, err)
			asserter.Equal(t, len(batch.Entries), 2)
			asserter.Equal(t, string(batch.Entries[0].Data), "b")
		})
	})
	t.Run("stats count appends and bytes", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			log := startLog(ctx, clock)
			_, err := log.Append(ctx, stream, []byte("abc"))
			asserter.NoError(t, err)
			stats, err := log.Stats(ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, stats, standin.LogStats{AppendedBytes: 3, Appends: 1})
		})
	})
}

func assertTail(ctx context.Context, t *testing.T, log buckthorndyke.Log, want buckthorndyke.Offset) {
	t.Helper()
	batch, err := log.Read(ctx, stream, 1, 0)
	asserter.NoError(t, err)
	asserter.Equal(t, batch.Tail, want)
}

func startLog(ctx context.Context, clock buckthorndyke.Clock, opts ...standin.LogOption) *standin.MemoryLog {
	log := standin.NewMemoryLog(clock, opts...)
	standin.Start(ctx, log)
	return log
}
