package buckthorndyke

import "context"

// ControlStream is the stream of the log that carries proposals.
const ControlStream Stream = "control"

// Stream names a stream of the log service.
type Stream string

// Entry is one record of a stream.
type Entry struct {
	// At is the log service's wall time of the append. It is shown to operators
	// and never compared with a local clock.
	At     Millis
	Data   []byte
	Offset Offset
}

// Batch is the answer to a read.
type Batch struct {
	// Entries are consecutive records from the offset that was asked for.
	Entries []Entry
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
	// up to wait for one. A from below Batch.First yields no entries.
	Read(ctx context.Context, stream Stream, from Offset, wait Millis) (Batch, error)
}
