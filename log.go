package buckthorndyke

import "context"

// ControlStream is the stream of the log that carries proposals.
const ControlStream Stream = "control"

// Stream names a stream of the log service.
type Stream string

// LogEntry is one record of a stream.
type LogEntry struct {
	// At is the log service's wall time of the append. It is shown to operators
	// and never compared with a local clock.
	At     Millis
	Data   []byte
	Offset Offset
}

// LogBatch is the answer to a read.
type LogBatch struct {
	// Entries are consecutive records from the offset that was asked for.
	Entries []LogEntry
	// First is the offset of the oldest record that is still kept.
	First Offset
	// Tail is the offset of the newest record at the time of the read, or
	// NoOffset if the stream has none yet.
	Tail Offset
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds data at the end of a stream and returns its offset. An error
	// whose verdict is not NotRun leaves open whether data was appended.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns the records from offset from on. If there are none it waits
	// up to wait for one. A from below LogBatch.First yields no entries.
	Read(ctx context.Context, stream Stream, from Offset, wait Millis) (LogBatch, error)
}
