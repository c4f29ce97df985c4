// Package mailer passes messages between tasks. A task owns its state and only
// changes it in response to messages from its mailbox.
package mailer

import "context"

// defaultCapacity is the number of messages that a mailbox buffers.
const defaultCapacity = 64

// Mailbox delivers messages to the one task that receives from it. Its messages are
// kept if the task is restarted.
type Mailbox[M any] struct {
	messages chan M
}

// Option configures a Mailbox.
type Option func(*options)

type options struct {
	capacity int
}

// WithCapacity sets the number of messages that the mailbox buffers.
func WithCapacity(n int) Option {
	return func(o *options) { o.capacity = n }
}

// NewMailbox returns an empty mailbox.
func NewMailbox[M any](opts ...Option) *Mailbox[M] {
	o := options{capacity: defaultCapacity}
	for _, opt := range opts {
		opt(&o)
	}
	return &Mailbox[M]{messages: make(chan M, o.capacity)}
}

// Receive returns the channel from which the owning task takes messages.
func (b *Mailbox[M]) Receive() <-chan M {
	return b.messages
}

// Send adds m to the mailbox. It blocks while the mailbox is full, and returns the
// cause of ctx if that ends first.
func (b *Mailbox[M]) Send(ctx context.Context, m M) error {
	select {
	case b.messages <- m:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// TrySend adds m to the mailbox unless that is full, and reports whether it did.
func (b *Mailbox[M]) TrySend(m M) bool {
	select {
	case b.messages <- m:
		return true
	default:
		return false
	}
}

// Reply returns one answer to the sender of a message. Answering never blocks.
type Reply[R any] struct {
	answer chan R
}

// NewReply returns a reply without an answer.
func NewReply[R any]() Reply[R] {
	return Reply[R]{answer: make(chan R, 1)}
}

// Answer sends r to the sender of the message. Only the first call has an effect.
func (p Reply[R]) Answer(r R) {
	select {
	case p.answer <- r:
	default:
	}
}

// Receive returns the channel on which the answer arrives.
func (p Reply[R]) Receive() <-chan R {
	return p.answer
}

// Ask creates a Reply, sends the message that ask returns for it, and waits for the
// answer. If ctx ends first, it returns the cause of ctx.
func Ask[M, R any](ctx context.Context, b *Mailbox[M], ask func(Reply[R]) M) (R, error) {
	reply := NewReply[R]()
	var zero R
	if err := b.Send(ctx, ask(reply)); err != nil {
		return zero, err
	}
	select {
	case r := <-reply.answer:
		return r, nil
	case <-ctx.Done():
		return zero, context.Cause(ctx)
	}
}
