package gatherer_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/gatherer"
)

// fixedAccount is an account of a fixed number of bytes for one reservation. It implements
// buckthorndyke.MemoryAccount and buckthorndyke.MemoryReservation.
type fixedAccount struct {
	closed bool
	left   int
}

// Close implements buckthorndyke.MemoryReservation.
func (a *fixedAccount) Close() { a.closed = true }

// Grow implements buckthorndyke.MemoryReservation.
func (a *fixedAccount) Grow(_ context.Context, n int) error {
	if n > a.left {
		return buckthorndyke.ErrMemory
	}
	a.left -= n
	return nil
}

// Open implements buckthorndyke.MemoryAccount.
func (a *fixedAccount) Open() buckthorndyke.MemoryReservation { return a }

func TestGatherer(t *testing.T) {
	const whole = "0123456789"
	large := strings.Repeat(whole, 5000)
	t.Run("a message is read to its end", func(t *testing.T) {
		for _, r := range []io.Reader{strings.NewReader(large), iotest.OneByteReader(strings.NewReader(large)), iotest.DataErrReader(strings.NewReader(large))} {
			g := gatherer.New(gatherer.Unlimited{})
			asserter.NoError(t, g.ReadAll(t.Context(), r, len(large)))
			asserter.Equal(t, string(g.Bytes()), large)
		}
	})
	t.Run("a message beyond the size limit is an error", func(t *testing.T) {
		g := gatherer.New(gatherer.Unlimited{})
		err := g.ReadAll(t.Context(), strings.NewReader(large), len(large)-1)
		asserter.True(t, errors.Is(err, gatherer.ErrTooLarge), "the error is not ErrTooLarge")
	})
	t.Run("the bytes before an error are kept", func(t *testing.T) {
		g := gatherer.New(&fixedAccount{left: 20000})
		err := g.ReadAll(t.Context(), strings.NewReader(large), len(large))
		asserter.True(t, errors.Is(err, buckthorndyke.ErrMemory), "the error is not ErrMemory")
		asserter.Equal(t, string(g.Bytes()), large[:len(g.Bytes())])
		asserter.True(t, len(g.Bytes()) > 8000, "the granted memory was not used")
	})
	t.Run("memory for an expected size is reserved once", func(t *testing.T) {
		account := &fixedAccount{left: len(large)}
		g := gatherer.New(account)
		asserter.NoError(t, g.Expect(t.Context(), len(large)))
		asserter.Equal(t, account.left, 0)
		asserter.NoError(t, g.ReadAll(t.Context(), iotest.DataErrReader(strings.NewReader(large)), len(large)))
		asserter.Equal(t, string(g.Bytes()), large)
	})
	t.Run("discarded bytes make room", func(t *testing.T) {
		g := gatherer.New(&fixedAccount{left: 4096})
		r := strings.NewReader(large)
		for range 10 {
			_, err := g.ReadOnce(t.Context(), r)
			asserter.NoError(t, err)
			g.Discard(len(g.Bytes()) - 1)
		}
		asserter.Equal(t, len(g.Bytes()), 1)
	})
	t.Run("the memory is released", func(t *testing.T) {
		account := &fixedAccount{}
		gatherer.New(account).Close()
		asserter.True(t, account.closed, "the reservation stays open")
	})
}
