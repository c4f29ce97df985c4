// Package gatherer collects the bytes of messages in memory, as far as a memory account
// allows.
package gatherer

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
)

// minCapacity is the size of the first buffer, in bytes.
const minCapacity = 4 << 10

// ErrTooLarge means that a message exceeds its size limit.
var ErrTooLarge = errors.New("the message exceeds the size limit")

// Gatherer collects the bytes of one message. Close has to be called.
type Gatherer struct {
	bytes       []byte
	reservation buckthorndyke.MemoryReservation
}

// New returns a gatherer without bytes that reserves memory from account.
func New(account buckthorndyke.MemoryAccount) *Gatherer {
	return &Gatherer{reservation: account.Open()}
}

// Bytes returns the bytes. They are valid until the next call of another method.
func (g *Gatherer) Bytes() []byte { return g.bytes }

// Close drops the bytes and releases their memory.
func (g *Gatherer) Close() {
	g.bytes = nil
	g.reservation.Close()
}

// Discard removes the first n bytes.
func (g *Gatherer) Discard(n int) {
	g.bytes = g.bytes[:copy(g.bytes, g.bytes[n:])]
}

// Expect reserves memory for n bytes in all. Its error is buckthorndyke.ErrMemory if too
// little is free, or the cause of ctx.
func (g *Gatherer) Expect(ctx context.Context, n int) error {
	if n <= cap(g.bytes) {
		return nil
	}
	if err := g.reservation.Grow(ctx, n-cap(g.bytes)); err != nil {
		return err
	}
	next := make([]byte, len(g.bytes), n)
	copy(next, g.bytes)
	g.bytes = next
	return nil
}

// ReadAll reads r to its end, or until there are more than limit bytes. Besides the errors of
// r and of Expect it returns ErrTooLarge. The bytes that were read before an error are kept.
func (g *Gatherer) ReadAll(ctx context.Context, r io.Reader, limit int) error {
	for {
		switch _, err := g.ReadOnce(ctx, r); {
		case len(g.bytes) > limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// ReadOnce reads from r once and returns the number of bytes that it has added. Besides the
// errors of r it returns those of Expect, without having read.
func (g *Gatherer) ReadOnce(ctx context.Context, r io.Reader) (int, error) {
	if len(g.bytes) == cap(g.bytes) {
		if err := g.Expect(ctx, max(minCapacity, 2*cap(g.bytes))); err != nil {
			return 0, err
		}
	}
	n, err := r.Read(g.bytes[len(g.bytes):cap(g.bytes)])
	g.bytes = g.bytes[:len(g.bytes)+n]
	return n, err
}

// Unlimited is a memory account without a limit. It implements
// buckthorndyke.MemoryAccount and buckthorndyke.MemoryReservation.
type Unlimited struct{}

// Close implements buckthorndyke.MemoryReservation.
func (Unlimited) Close() {}

// Grow implements buckthorndyke.MemoryReservation.
func (Unlimited) Grow(context.Context, int) error { return nil }

// Open implements buckthorndyke.MemoryAccount.
func (Unlimited) Open() buckthorndyke.MemoryReservation { return Unlimited{} }
