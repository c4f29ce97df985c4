package claimer

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

const (
	// settleCapacity bounds the outcomes that are being appended at once. A
	// further outcome is dropped: later calls with its key are told that the first
	// may have run.
	pendingLimit = 512
	// answerLimit bounds the body of a recorded answer, in bytes. A longer answer
	// is not recorded, only that the call ran.
	responseLimit = 8 * 1024
)

// settler is the task that appends outcomes.
type settler struct {
	box     *mailer.Mailbox[settleMessage]
	clock   buckthorndyke.Clock
	log     buckthorndyke.Log
	options options
}

// settleMessage asks for the record of an outcome.
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

// abandon has o appended without waiting for it.
func (s *settler) abandon(stream buckthorndyke.Stream, o buckthorndyke.ClaimOutcome) {
	s.box.TrySend(settleMessage{outcome: o, reply: mailer.NewReply[error](), stream: stream})
}

// append appends the record of an outcome until its offset is known or the limit
// is over. An outcome that is in the log twice counts once.
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

// settle has o appended and waits for it until ctx ends.
func (s *settler) settle(ctx context.Context, stream buckthorndyke.Stream, o buckthorndyke.ClaimOutcome) error {
	err, waitErr := mailer.Ask(ctx, s.box, func(reply mailer.Reply[error]) settleMessage {
		return settleMessage{outcome: o, reply: reply, stream: stream}
	})
	if err == nil {
		err = waitErr
	}
	if err != nil {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeLogUnavailable, buckthorndyke.MayHaveRun,
			"the outcome is not in the log yet")
	}
	return nil
}
