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
	t.Run("a file with faults is logged and changes nothing", func(t *testing.T) {
		got := runReloader(t, []string{"a", "b", "b", "a"}, errors.New("line 3 is wrong"))
		asserter.Equal(t, got.applied, []string{"b", "a"})
		asserter.Contains(t, got.log, "settings-rejected")
		asserter.Contains(t, got.log, "line 3 is wrong")
	})
}

// result is what a reloader has done.
type result struct {
	applied []string
	log     string
}

// runReloader lets a reloader look at a file that holds one content after the other.
func runReloader(t *testing.T, contents []string, fault error) result {
	var out result
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var log bytes.Buffer
		looks := 0
		read := func() ([]byte, error) {
			content := contents[min(looks, len(contents)-1)]
			looks++
			return []byte(content), nil
		}
		apply := func(data []byte) error {
			out.applied = append(out.applied, string(data))
			return fault
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
