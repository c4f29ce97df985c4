package accountant_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/accountant"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const mebibyte = 1 << 20

// fixture is an accountant of 8 MiB in a synctest bubble.
type fixture struct {
	accountant *accountant.Accountant
	ctx        context.Context
	log        *bytes.Buffer
}

// withFixture runs test with an accountant.
func withFixture(t *testing.T, name string, test func(t *testing.T, s fixture)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := fixture{ctx: ctx, log: &bytes.Buffer{}}
			s.accountant = accountant.New(8*mebibyte, reporter.NewMetrics(), timekeeper.NewRealClock(), zerolog.New(s.log))
			go func() { _ = s.accountant.Serve(ctx) }()
			test(t, s)
		})
	})
}

// assertRefused checks that a reservation does not get n more bytes.
func assertRefused(t *testing.T, s fixture, r buckthorndyke.MemoryReservation, n int) {
	t.Helper()
	asserter.True(t, errors.Is(r.Grow(s.ctx, n), buckthorndyke.ErrMemory), "memory beyond the limit was granted")
}

func TestAccountant(t *testing.T) {
	withFixture(t, "memory is granted up to the limit and again after its release", func(t *testing.T, s fixture) {
		first, second := s.accountant.Open(), s.accountant.Open()
		asserter.NoError(t, first.Grow(s.ctx, 5*mebibyte))
		assertRefused(t, s, second, 3*mebibyte)
		first.Close()
		first.Close()
		asserter.NoError(t, second.Grow(s.ctx, 3*mebibyte))
	})
	withFixture(t, "a small message finds room beside large ones", func(t *testing.T, s fixture) {
		for range 100 {
			r := s.accountant.Open()
			asserter.NoError(t, r.Grow(s.ctx, 16<<10))
			for size := 256 << 10; r.Grow(s.ctx, size) == nil; size *= 2 {
			}
		}
		asserter.NoError(t, s.accountant.Open().Grow(s.ctx, 48<<10))
	})
	withFixture(t, "the first bytes need no message to the task", func(t *testing.T, s fixture) {
		hog := s.accountant.Open()
		for hog.Grow(s.ctx, 64<<10) == nil {
		}
		for range 1000 {
			asserter.NoError(t, s.accountant.Open().Grow(s.ctx, 16<<10))
		}
	})
	withFixture(t, "refusals are logged once a second", func(t *testing.T, s fixture) {
		r := s.accountant.Open()
		for range 10 {
			assertRefused(t, s, r, 9*mebibyte)
		}
		asserter.Equal(t, strings.Count(s.log.String(), "memory-short"), 1)
		time.Sleep(time.Second)
		assertRefused(t, s, r, 9*mebibyte)
		asserter.Equal(t, strings.Count(s.log.String(), "memory-short"), 2)
		asserter.Contains(t, s.log.String(), `"refusals":10`)
	})
	withFixture(t, "a reservation of a client that has disconnected is not granted", func(t *testing.T, s fixture) {
		ctx, cancel := context.WithCancel(s.ctx)
		cancel()
		asserter.Error(t, s.accountant.Open().Grow(ctx, mebibyte))
		asserter.NoError(t, s.accountant.Open().Grow(s.ctx, 4*mebibyte))
	})
	t.Run("without the task, as at the end of the process, nothing blocks for long", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			a := accountant.New(mebibyte, reporter.NewMetrics(), timekeeper.NewRealClock(), zerolog.Nop())
			r := a.Open()
			asserter.True(t, errors.Is(r.Grow(t.Context(), 100<<10), buckthorndyke.ErrMemory), "memory was granted")
			r.Close()
		})
	})
}
