package claimer

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

const (
	// pendingLimit bounds the outcomes that are being appended at a time, and those that
	// are queued. Further outcomes are dropped: those of abandoned claims immediately,
	// others when Settle times out. Later calls with the key may then be told that the
	// first call may have run.
	pendingLimit = 512
	// responseLimit bounds the body of a recorded response, in bytes. Of a call with a
	// longer response it is recorded only that the call ran.
	responseLimit = 8 * 1024
)

// settler is the task that appends the outcomes of claims.
type settler struct {
	box     *mailer.Mailbox[settleMessage]
	clock   buckthorndyke.Clock
	log     buckthorndyke.Log
	options options
}

// settleMessage requests that the record of an outcome be appended.
type settleMessage struct {
	outcome buckthorndyke.ClaimOutcome
	reply   mailer.Reply[error]
	stream  buckthorndyke.Stream
}

// newSettler returns a settler that appends to log.
func newSettler(log buckthorndyke.Log, clock buckthorndyke.Clock, o options) *settler {
	return &settler{
		box:     mailer.NewMailbox[settleMessage](mailer.WithCapacity(pendingLimit)),
		clock:   clock,
		log:     log,
		options: o,
	}
}

// Serve implements suture.Service.
func (s *settler) Serve(ctx context.Context) error {
	pending := 0
	done := make(chan struct{})
	for {
		var messages <-chan settleMessage
		if pending < pendingLimit {
			messages = s.box.Receive()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-done:
			pending--
		case m := <-messages:
			pending++
			go func() {
				m.reply.Answer(s.append(ctx, m))
				select {
				case done <- struct{}{}:
				case <-ctx.Done():
				}
			}()
		}
	}
}

// abandon appends o without waiting for the result.
func (s *settler) abandon(stream buckthorndyke.Stream, o buckthorndyke.ClaimOutcome) {
	s.box.TrySend(settleMessage{outcome: o, reply: mailer.NewReply[error](), stream: stream})
}

// append tries to append the record of an outcome until its offset is known or the
// retry period ends. It is safe to append an outcome twice, since only the first record
// counts.
func (s *settler) append(ctx context.Context, m settleMessage) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.settleRetryPeriod.Duration())
	defer cancel()
	o := m.outcome
	if o.Response != nil && len(o.Response.Body) > responseLimit {
		o.Response = nil
	}
	data, err := encoder.EncodeClaim(buckthorndyke.ClaimRecord{
		Claim:   buckthorndyke.ClaimRequest{ID: o.ID, Key: o.Key},
		Outcome: &o,
	})
	if err != nil {
		return err
	}
	_, err = appendRecord(ctx, s.log, s.clock, m.stream, data)
	return err
}

// settle appends o and waits for the result until ctx ends.
func (s *settler) settle(ctx context.Context, stream buckthorndyke.Stream, o buckthorndyke.ClaimOutcome) error {
	err, waitErr := mailer.Ask(ctx, s.box, func(reply mailer.Reply[error]) settleMessage {
		return settleMessage{outcome: o, reply: reply, stream: stream}
	})
	if err == nil {
		err = waitErr
	}
	if err != nil {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeLogUnavailable, buckthorndyke.MayHaveRun,
			"the outcome was not recorded in time")
	}
	return nil
}
