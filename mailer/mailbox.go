// Package mailer carries messages between tasks. A task owns its state and
// changes it only in answer to messages from its mailbox.
package mailer

import "context"

// defaultCapacity bounds the messages that wait in a mailbox.
const defaultCapacity = 64

// Mailbox delivers messages to the one task that receives from it. It outlives
// a restart of its task.
type Mailbox[M any] struct {
	messages chan M
}

// Option configures a Mailbox.
type Option func(*options)

type options struct {
	capacity int
}

// WithCapacity bounds the messages that wait in the mailbox to n.
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

// Send queues m. It waits while the mailbox is full and fails with the error of
// ctx once that ends.
func (b *Mailbox[M]) Send(ctx context.Context, m M) error {
	select {
	case b.messages <- m:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// TrySend queues m unless the mailbox is full, and reports whether it did.
func (b *Mailbox[M]) TrySend(m M) bool {
	select {
	case b.messages <- m:
		return true
	default:
		return false
	}
}

// Reply carries one answer back to the sender of a message. The task that
// answers never waits for the sender.
type Reply[R any] struct {
	answer chan R
}

// NewReply returns a reply that has no answer yet.
func NewReply[R any]() Reply[R] {
	return Reply[R]{answer: make(chan R, 1)}
}

// Answer hands r to the sender. Only the first answer counts.
func (p Reply[R]) Answer(r R) {
	select {
	case p.answer <- r:
	default:
	}
}

// Receive returns the channel that receives the answer.
func (p Reply[R]) Receive() <-chan R {
	return p.answer
}

// Ask sends the message that ask makes around a new reply, and waits for the
// answer.
func Ask[M, R any](ctx context.Context, b *Mailbox[M], ask func(Reply[R]) M) (R, error) {
	reply := NewReply[R]()
	var none R
	if err := b.Send(ctx, ask(reply)); err != nil {
		return none, err
	}
	select {
	case r := <-reply.answer:
		return r, nil
	case <-ctx.Done():
		return none, context.Cause(ctx)
	}
}
