package standin

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// appendMessage asks a MemoryLog to append a record.
type appendMessage struct {
	// arrived is set once the first half of the fault's delay has passed.
	arrived bool
	data    []byte
	reply   mailer.Reply[result[buckthorndyke.Offset]]
	stream  buckthorndyke.Stream
}

func (m appendMessage) handle(ctx context.Context, s *logState) {
	if !m.arrived && s.faults.Delay > 0 {
		m.arrived = true
		s.deliverLater(ctx, m)
		return
	}
	r := result[buckthorndyke.Offset]{delay: s.returnDelay()}
	if s.faults.Down {
		r.err = logDown()
		m.reply.Answer(r)
		return
	}
	stream := s.stream(m.stream)
	r.value = stream.add(m.data, s.clock.Now(), s.retention)
	s.stats.Appends++
	s.stats.AppendedBytes += len(m.data)
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		r.value = buckthorndyke.NoOffset
		r.err = buckthorndyke.NewRefusal(
			buckthorndyke.CodeLogUnavailable, buckthorndyke.MayHaveRun, "the reply to the append was lost")
	}
	m.reply.Answer(r)
	stream.wake(s.returnDelay(), nil)
}

// readMessage asks a MemoryLog for records.
type readMessage struct {
	arrived bool
	// done is closed when the reader has given up.
	done   <-chan struct{}
	from   buckthorndyke.Offset
	reply  mailer.Reply[result[buckthorndyke.LogBatch]]
	stream buckthorndyke.Stream
	wait   buckthorndyke.Millis
}

func (m readMessage) handle(ctx context.Context, s *logState) {
	if !m.arrived && s.faults.Delay > 0 {
		m.arrived = true
		s.deliverLater(ctx, m)
		return
	}
	if s.faults.Down {
		m.reply.Answer(result[buckthorndyke.LogBatch]{delay: s.returnDelay(), err: logDown()})
		return
	}
	s.stats.Reads++
	stream := s.stream(m.stream)
	batch := stream.batch(m.from)
	if len(batch.Entries) > 0 || m.from < batch.First || m.wait <= 0 {
		m.reply.Answer(result[buckthorndyke.LogBatch]{delay: s.returnDelay(), value: batch})
		return
	}
	stream.waiting[m.reply] = m.from
	expired := s.clock.After(m.wait)
	go func() {
		select {
		case <-expired:
		case <-m.done:
		case <-ctx.Done():
			return
		}
		_ = s.box.Send(ctx, readExpiredMessage{reply: m.reply, stream: m.stream})
	}()
}

// readExpiredMessage ends a read that waited for its whole wait time, or whose
// reader has given up.
type readExpiredMessage struct {
	reply  mailer.Reply[result[buckthorndyke.LogBatch]]
	stream buckthorndyke.Stream
}

func (m readExpiredMessage) handle(_ context.Context, s *logState) {
	stream := s.stream(m.stream)
	from, waiting := stream.waiting[m.reply]
	if !waiting {
		return
	}
	delete(stream.waiting, m.reply)
	m.reply.Answer(result[buckthorndyke.LogBatch]{delay: s.returnDelay(), value: stream.batch(from)})
}

// logFaultsMessage replaces the faults of a MemoryLog.
type logFaultsMessage struct {
	faults LogFaults
	reply  mailer.Reply[acknowledged]
}

func (m logFaultsMessage) handle(_ context.Context, s *logState) {
	s.faults = m.faults
	if s.faults.Down {
		for _, stream := range s.streams {
			stream.wake(0, logDown())
		}
	}
	m.reply.Answer(acknowledged{})
}

// logStatsMessage asks a MemoryLog for its stats.
type logStatsMessage struct {
	reply mailer.Reply[LogStats]
}

func (m logStatsMessage) handle(_ context.Context, s *logState) {
	m.reply.Answer(s.stats)
}
