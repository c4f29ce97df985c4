package claimer

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/adjudicator"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

const (
	// readWait is how long a read at the tail waits for a record.
	readWait = 10 * buckthorndyke.Second
	// retryInterval is the time between retries while the log does not respond.
	retryInterval = 200 * buckthorndyke.Millisecond
)

// shard is the task that tails one claims stream.
type shard struct {
	box     *mailer.Mailbox[shardEvent]
	clock   buckthorndyke.Clock
	log     buckthorndyke.Log
	options options
	stream  buckthorndyke.Stream
}

// shardEvent is a message to a shard.
type shardEvent interface {
	handle(context.Context, *shardState)
}

// newShard returns a task that tails stream.
func newShard(
	stream buckthorndyke.Stream, log buckthorndyke.Log, clock buckthorndyke.Clock, o options,
) *shard {
	return &shard{box: mailer.NewMailbox[shardEvent](), clock: clock, log: log, options: o, stream: stream}
}

// Serve implements suture.Service. It starts with an empty ledger and reads the stream
// from its oldest record, since the log retains the records of all keys that have not
// expired.
func (s *shard) Serve(ctx context.Context) error {
	state := &shardState{
		ledger: adjudicator.NewLedger(adjudicator.WithKeyLifetime(s.options.keyLifetime)),
		shard:  s,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.tail(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-s.box.Receive():
			e.handle(ctx, state)
		}
	}
}

// append tries to append a claim until its offset is known or ctx ends. It is safe to
// append a claim twice.
func (s *shard) append(ctx context.Context, r buckthorndyke.ClaimRequest) (buckthorndyke.Offset, error) {
	data, err := encoder.EncodeClaim(buckthorndyke.ClaimRecord{Claim: r})
	if err != nil {
		return buckthorndyke.NoOffset, err
	}
	return appendRecord(ctx, s.log, s.clock, s.stream, data)
}

// claim returns the reply to r. It fails with CodeLogUnavailable if the log does not
// respond until ctx ends.
func (s *shard) claim(ctx context.Context, r buckthorndyke.ClaimRequest) (buckthorndyke.ClaimReply, error) {
	result, err := mailer.Ask(ctx, s.box, func(reply mailer.Reply[claimResult]) shardEvent {
		return claimEvent{claimant: ctx, reply: reply, request: r}
	})
	if err != nil {
		return buckthorndyke.ClaimReply{}, unavailable(
			buckthorndyke.CodeLogUnavailable, "the log did not confirm the claim in time")
	}
	return result.reply, result.err
}

// tail reads the stream, starting with its oldest record, until ctx ends.
func (s *shard) tail(ctx context.Context) {
	next := buckthorndyke.NoOffset + 1
	for ctx.Err() == nil {
		batch, err := s.log.Read(ctx, s.stream, next, readWait)
		switch {
		case err != nil:
			wait(ctx, s.clock, retryInterval)
		case len(batch.Entries) > 0:
			next = batch.Entries[len(batch.Entries)-1].Offset + 1
			if s.box.Send(ctx, batchEvent{entries: batch.Entries}) != nil {
				return
			}
		case batch.First > next:
			// The log has deleted older records. Their keys have expired.
			next = batch.First
		}
	}
}

// appendRecord tries to append data until its offset is known or ctx ends.
func appendRecord(
	ctx context.Context, log buckthorndyke.Log, clock buckthorndyke.Clock, stream buckthorndyke.Stream, data []byte,
) (buckthorndyke.Offset, error) {
	for {
		offset, err := log.Append(ctx, stream, data)
		if err == nil {
			return offset, nil
		}
		wait(ctx, clock, retryInterval)
		if ctx.Err() != nil {
			return buckthorndyke.NoOffset, err
		}
	}
}

// wait returns after d, or when ctx ends.
func wait(ctx context.Context, clock buckthorndyke.Clock, d buckthorndyke.Millis) {
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}
