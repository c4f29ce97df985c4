package buckthorndyke

import "context"

// ControlStream is the stream of the log that carries proposals.
const ControlStream Stream = "control"

// Stream names a stream of the log service.
type Stream string

// LogEntry is one record of a stream.
type LogEntry struct {
	// At is the log service's wall-clock time of the append. It is shown to
	// operators and never compared with a local clock.
	At     Millis
	Data   []byte
	Offset Offset
}

// LogBatch is the result of a read.
type LogBatch struct {
	// Entries are consecutive records, starting at the requested offset.
	Entries []LogEntry
	// First is the offset of the oldest record that the log still holds.
	First Offset
	// Tail is the offset of the newest record at the time of the read, or
	// NoOffset if the stream is empty.
	Tail Offset
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds data to the end of a stream and returns its offset. After an error
	// whose verdict is not NotRun, data may have been appended.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns the records starting at offset from. If there are none, it waits
	// for one, for at most wait. If from is below LogBatch.First, the batch has no
	// entries.
	Read(ctx context.Context, stream Stream, from Offset, wait Millis) (LogBatch, error)
}
