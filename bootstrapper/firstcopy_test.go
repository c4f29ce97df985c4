package bootstrapper_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/bootstrapper"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// countedDirectory is a directory whose reads fail. It implements buckthorndyke.Directory.
type countedDirectory struct {
	buckthorndyke.Directory
	err   error
	reads int
}

// Routing implements buckthorndyke.Directory.
func (d *countedDirectory) Routing(context.Context, buckthorndyke.Millis) (buckthorndyke.Routing, bool, error) {
	d.reads++
	return buckthorndyke.Routing{}, false, d.err
}

// readTwice reads the first configuration twice, 2 s apart, from a directory whose reads fail
// with err. It returns the number of those reads and the result of the last call.
func readTwice(t *testing.T, peers routingPeers, err error) (reads int, got buckthorndyke.Routing, last error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clock, own, skips := timekeeper.NewRealClock(), &countedDirectory{err: err}, &skipped{}
		source := bootstrapper.NewRoutings(peers, encoder.Routings{}, skips, []string{"seed"}, "self", clock, zerolog.Nop())
		d := bootstrapper.NewDirectory(own, fakePeers{}, nil, zerolog.Nop(), bootstrapper.WithRoutingCopies(source, clock))
		if got, _, last = d.Routing(t.Context(), 0); last != nil {
			time.Sleep((2 * buckthorndyke.Second).Duration())
			got, _, last = d.Routing(t.Context(), 0)
		}
		reads = own.reads
	})
	return reads, got, last
}

// TestFirstCopy guards against a large fleet that starts as a whole and never has a
// configuration: all reads take longer than the time-out, and their repetitions keep the
// store's bandwidth exceeded.
func TestFirstCopy(t *testing.T) {
	data, err := encoder.Routings{}.EncodeRouting(buckthorndyke.Routing{Version: 3})
	asserter.NoError(t, err)
	known := routingPeers{"seed": {{Encoded: data}}}
	t.Run("a VM whose first read times out gets a copy", func(t *testing.T) {
		reads, got, err := readTwice(t, known, context.DeadlineExceeded)
		asserter.NoError(t, err)
		asserter.Equal(t, got.Version, 3)
		asserter.True(t, got.Copied, "the copy counts as a read")
		asserter.Equal(t, reads, 1)
	})
	t.Run("a VM does not repeat the read while a seed responds that has no copy yet", func(t *testing.T) {
		reads, _, err := readTwice(t, routingPeers{"seed": {{}}}, context.DeadlineExceeded)
		asserter.Error(t, err)
		asserter.Equal(t, reads, 1)
	})
	t.Run("a VM repeats the read if no seed responds", func(t *testing.T) {
		reads, _, err := readTwice(t, routingPeers{}, context.DeadlineExceeded)
		asserter.Error(t, err)
		asserter.Equal(t, reads, 2)
	})
	t.Run("a VM repeats a read that fails at once", func(t *testing.T) {
		reads, _, err := readTwice(t, known, errors.New("refused"))
		asserter.Error(t, err)
		asserter.Equal(t, reads, 2)
	})
}
