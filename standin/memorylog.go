package standin

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// maxReadEntries is the maximum number of records that one read returns.
const maxReadEntries = 1024

// MemoryLog is an in-memory fake of the log service. It implements
// buckthorndyke.Log.
type MemoryLog struct {
	clock buckthorndyke.Clock
	task[*logState]
}

// LogOption configures a MemoryLog.
type LogOption func(*logState)

// WithRetention makes the log keep only the newest n records of each stream, or all
// of them if n is 0.
func WithRetention(n int) LogOption {
	return func(s *logState) { s.retention = n }
}

// NewMemoryLog returns an empty log that retains all records by default.
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

// Stats returns counts of the requests and bytes that the log has handled.
func (l *MemoryLog) Stats(ctx context.Context) (LogStats, error) {
	return ask(ctx, &l.task, func(r mailer.Reply[LogStats]) message[*logState] {
		return logStatsMessage{reply: r}
	})
}
