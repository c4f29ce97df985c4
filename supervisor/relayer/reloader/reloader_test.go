package reloader_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/reloader"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

func TestReloader(t *testing.T) {
	t.Run("a changed file is applied once", func(t *testing.T) {
		asserter.Equal(t, runReloader(t, []string{"a", "a", "b", "b"}, nil).applied, []string{"b"})
	})
	t.Run("an invalid file is logged and changes nothing", func(t *testing.T) {
		got := runReloader(t, []string{"a", "b", "b", "a"}, errors.New("line 3 is wrong"))
		asserter.Equal(t, got.applied, []string{"b", "a"})
		asserter.Contains(t, got.log, "settings-rejected")
		asserter.Contains(t, got.log, "line 3 is wrong")
	})
}

// result is what a reloader did during a run.
type result struct {
	applied []string
	log     string
}

// runReloader runs a reloader whose file has the given contents one after the other. Each
// change is applied with the error applyErr.
func runReloader(t *testing.T, contents []string, applyErr error) result {
	var out result
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var log bytes.Buffer
		reads := 0
		read := func() ([]byte, error) {
			content := contents[min(reads, len(contents)-1)]
			reads++
			return []byte(content), nil
		}
		apply := func(data []byte) error {
			out.applied = append(out.applied, string(data))
			return applyErr
		}
		clock := timekeeper.NewRealClock()
		r := reloader.New(read, apply, nil, clock, zerolog.New(&log))
		done := make(chan error, 1)
		go func() { done <- r.Serve(ctx) }()
		<-clock.After(buckthorndyke.Minute)
		cancel()
		asserter.True(t, errors.Is(<-done, context.Canceled), "the task did not end")
		out.log = log.String()
	})
	return out
}
