package standin

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// maxReadEntries bounds the records of one answer to a read.
const maxReadEntries = 1024

// MemoryLog is a log service in memory. It implements buckthorndyke.Log.
type MemoryLog struct {
	clock buckthorndyke.Clock
	task[*logState]
}

// LogOption configures a MemoryLog.
type LogOption func(*logState)

// WithRetention keeps only the newest n records of each stream.
func WithRetention(n int) LogOption {
	return func(s *logState) { s.retention = n }
}

// NewMemoryLog returns a log without records that keeps all that it is given.
func NewMemoryLog(clock buckthorndyke.Clock, opts ...LogOption) *MemoryLog {
	return &MemoryLog{
		clock: clock,
		task: newTask(func(box *mailer.Mailbox[message[*logState]]) *logState {
			s := &logState{box: box, clock: clock, streams: make(map[buckthorndyke.Stream]*logStream)}
			for _, opt := range opts {
				opt(s)
			}
			return s
		}),
	}
}

// Append implements buckthorndyke.Log.
func (l *MemoryLog) Append(
	ctx context.Context, stream buckthorndyke.Stream, data []byte,
) (buckthorndyke.Offset, error) {
	data = append([]byte(nil), data...)
	return askDelayed(ctx, l.clock, &l.task, func(r mailer.Reply[result[buckthorndyke.Offset]]) message[*logState] {
		return appendMessage{data: data, reply: r, stream: stream}
	})
}

// Read implements buckthorndyke.Log.
func (l *MemoryLog) Read(
	ctx context.Context, stream buckthorndyke.Stream, from buckthorndyke.Offset, wait buckthorndyke.Millis,
) (buckthorndyke.LogBatch, error) {
	return askDelayed(ctx, l.clock, &l.task, func(r mailer.Reply[result[buckthorndyke.LogBatch]]) message[*logState] {
		return readMessage{done: ctx.Done(), from: from, reply: r, stream: stream, wait: wait}
	})
}

// SetFaults replaces the faults of the log.
func (l *MemoryLog) SetFaults(ctx context.Context, f LogFaults) error {
	return tell(ctx, &l.task, func(r mailer.Reply[acknowledged]) message[*logState] {
		return logFaultsMessage{faults: f, reply: r}
	})
}

// Stats returns what the log has carried so far.
func (l *MemoryLog) Stats(ctx context.Context) (LogStats, error) {
	return ask(ctx, &l.task, func(r mailer.Reply[LogStats]) message[*logState] {
		return logStatsMessage{reply: r}
	})
}
