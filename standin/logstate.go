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

// arrive handles m once half of the fault's delay has passed.
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

// returnDelay is how long an answer is on its way.
func (s *logState) returnDelay() buckthorndyke.Millis {
	return s.faults.Delay - s.faults.Delay/2
}

// stream returns the stream called name.
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
	// waiting holds the offsets that reads wait for.
	waiting map[mailer.Reply[result[buckthorndyke.LogBatch]]]buckthorndyke.Offset
}

// add appends data and keeps only the newest retention records unless that is 0.
func (s *logStream) add(data []byte, at buckthorndyke.Millis, retention int) buckthorndyke.Offset {
	s.tail++
	s.entries = append(s.entries, buckthorndyke.LogEntry{At: at, Data: data, Offset: s.tail})
	if retention > 0 && len(s.entries) > retention {
		s.entries = s.entries[len(s.entries)-retention:]
	}
	return s.tail
}

// batch returns the records from offset from on.
func (s *logStream) batch(from buckthorndyke.Offset) buckthorndyke.LogBatch {
	first := s.first()
	b := buckthorndyke.LogBatch{First: first, Tail: s.tail}
	if from < first || from > s.tail {
		return b
	}
	kept := s.entries[from-first:]
	b.Entries = append(b.Entries, kept[:min(len(kept), maxReadEntries)]...)
	return b
}

// first returns the offset of the oldest record that is kept.
func (s *logStream) first() buckthorndyke.Offset {
	return s.tail - buckthorndyke.Offset(len(s.entries)) + 1
}

// wake answers all reads that wait with what there is, or with err.
func (s *logStream) wake(delay buckthorndyke.Millis, err error) {
	for reply, from := range s.waiting {
		reply.Answer(result[buckthorndyke.LogBatch]{delay: delay, err: err, value: s.batch(from)})
	}
	clear(s.waiting)
}

// logDown is the error of a log that is down.
func logDown() error {
	return buckthorndyke.NewRefusal(buckthorndyke.CodeLogUnavailable, buckthorndyke.NotRun, "the log is down")
}
