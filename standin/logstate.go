package standin

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// logState is the state of a MemoryLog.
type logState struct {
	box       *mailer.Mailbox[message[*logState]]
	clock     buckthorndyke.Clock
	faults    LogFaults
	retention int
	stats     LogStats
	streams   map[buckthorndyke.Stream]*logStream
}

// deliverLater puts m into the log's own mailbox after half of the fault's delay.
func (s *logState) deliverLater(ctx context.Context, m message[*logState]) {
	wait := s.clock.After(s.faults.Delay / 2)
	go func() {
		select {
		case <-wait:
			_ = s.box.Send(ctx, m)
		case <-ctx.Done():
		}
	}()
}

// returnDelay returns the time after which a reply arrives at the caller.
func (s *logState) returnDelay() buckthorndyke.Millis {
	return s.faults.Delay - s.faults.Delay/2
}

// stream returns the stream with the given name and creates it if needed.
func (s *logState) stream(name buckthorndyke.Stream) *logStream {
	stream, ok := s.streams[name]
	if !ok {
		stream = &logStream{waiting: make(map[mailer.Reply[result[buckthorndyke.LogBatch]]]buckthorndyke.Offset)}
		s.streams[name] = stream
	}
	return stream
}

// logStream is one stream of a MemoryLog.
type logStream struct {
	entries []buckthorndyke.LogEntry
	tail    buckthorndyke.Offset
	// waiting holds the offset that each waiting read starts from.
	waiting map[mailer.Reply[result[buckthorndyke.LogBatch]]]buckthorndyke.Offset
}

// add appends data and returns its offset. It keeps only the newest retention
// records, or all of them if retention is 0.
func (s *logStream) add(data []byte, at buckthorndyke.Millis, retention int) buckthorndyke.Offset {
	s.tail++
	s.entries = append(s.entries, buckthorndyke.LogEntry{At: at, Data: data, Offset: s.tail})
	if retention > 0 && len(s.entries) > retention {
		s.entries = s.entries[len(s.entries)-retention:]
	}
	return s.tail
}

// batch returns up to maxReadEntries records from offset from.
func (s *logStream) batch(from buckthorndyke.Offset) buckthorndyke.LogBatch {
	first := s.first()
	b := buckthorndyke.LogBatch{First: first, Tail: s.tail}
	if from < first || from > s.tail {
		return b
	}
	retained := s.entries[from-first:]
	b.Entries = append(b.Entries, retained[:min(len(retained), maxReadEntries)]...)
	return b
}

// first returns the offset of the oldest retained record.
func (s *logStream) first() buckthorndyke.Offset {
	return s.tail - buckthorndyke.Offset(len(s.entries)) + 1
}

// wake replies to all waiting reads with the records that they asked for, or with
// err if that is not nil.
func (s *logStream) wake(delay buckthorndyke.Millis, err error) {
	for reply, from := range s.waiting {
		reply.Answer(result[buckthorndyke.LogBatch]{delay: delay, err: err, value: s.batch(from)})
	}
	clear(s.waiting)
}

// logDown returns the refusal of a log that is down.
func logDown() error {
	return buckthorndyke.NewRefusal(buckthorndyke.CodeLogUnavailable, buckthorndyke.NotRun, "the log is down")
}
