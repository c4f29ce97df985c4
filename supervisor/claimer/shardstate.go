package claimer

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/adjudicator"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// shardState is the state of a shard's task.
type shardState struct {
	ledger adjudicator.Ledger
	shard  *shard
	// waiting lists the claims whose records were appended but not read back yet.
	waiting []appendedEvent
}

type (
	// appendedEvent reports the offset of a claim's record.
	appendedEvent struct {
		claimEvent
		err    error
		offset buckthorndyke.Offset
		// started is the instant just before the append was sent.
		started buckthorndyke.Millis
	}

	// batchEvent carries records that were read.
	batchEvent struct {
		entries []buckthorndyke.LogEntry
	}

	// claimResult is the reply to a claim, or an error.
	claimResult struct {
		err   error
		reply buckthorndyke.ClaimReply
	}

	// claimEvent carries a claim to the task.
	claimEvent struct {
		// claimant ends when the claimant stops waiting for the reply.
		claimant context.Context
		reply    mailer.Reply[claimResult]
		request  buckthorndyke.ClaimRequest
	}
)

func (e appendedEvent) handle(_ context.Context, s *shardState) {
	switch {
	case e.err != nil:
		e.reply.Answer(claimResult{err: unavailable(
			buckthorndyke.CodeLogUnavailable, "append the claim: "+e.err.Error())})
	case e.offset <= s.ledger.Offset():
		s.sendReply(e)
	default:
		s.waiting = append(s.waiting, e)
	}
}

func (e batchEvent) handle(_ context.Context, s *shardState) {
	for _, entry := range e.entries {
		record, err := encoder.DecodeClaim(entry.Data)
		if err != nil {
			s.ledger = s.ledger.WithSkipped(entry.Offset, entry.At)
			continue
		}
		s.ledger = s.ledger.WithRecord(record, entry.Offset, entry.At)
	}
	s.sendReplies()
}

func (e claimEvent) handle(ctx context.Context, s *shardState) {
	if reply, final, err := s.ledger.FinalReply(e.request); final {
		e.reply.Answer(claimResult{err: err, reply: reply})
		return
	}
	started := s.shard.clock.Now()
	go func() {
		offset, err := s.shard.append(e.claimant, e.request)
		_ = s.shard.box.Send(ctx, appendedEvent{claimEvent: e, err: err, offset: offset, started: started})
	}()
}

// sendReplies replies to the waiting claims whose records were applied and removes
// those whose claimants have stopped waiting.
func (s *shardState) sendReplies() {
	var waiting []appendedEvent
	for _, e := range s.waiting {
		switch {
		case e.offset <= s.ledger.Offset():
			s.sendReply(e)
		case e.claimant.Err() == nil:
			waiting = append(waiting, e)
		}
	}
	s.waiting = waiting
}

// sendReply replies to a claim whose record was applied. There is no reply if that took
// longer than KeyTolerance, for example because the process was paused: the log may have
// deleted older records of the key in the meantime.
func (s *shardState) sendReply(e appendedEvent) {
	if s.shard.clock.Now()-e.started > adjudicator.KeyTolerance {
		return
	}
	reply, err := s.ledger.Reply(e.request)
	e.reply.Answer(claimResult{err: err, reply: reply})
}
