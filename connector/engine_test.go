package connector_test

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

func TestEngineJobs(t *testing.T) {
	t.Run("down", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			asserter.NoError(t, b.memory.engine.SetFaults(ctx, standin.EngineFaults{Down: true}))
			_, err := b.engine.Generate(ctx, job("j"))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Verdict(t, b.engine.Cancel(ctx, "j"), buckthorndyke.NotRun)
		})
	})
	t.Run("model that is not loaded", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			_, err := b.engine.Generate(ctx, buckthorndyke.Job{ID: "j", Model: "spare"})
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Code(t, err, buckthorndyke.CodeRunnerUnavailable)
		})
	})
	t.Run("crash", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			crash := job("j")
			crash.Prompt = standin.CrashPrompt
			_, err := collect(ctx, generate(ctx, t, b.engine, crash))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.Code(t, err, buckthorndyke.CodeEngineFailed)
		})
	})
	t.Run("a cut stream is resumed", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			asserter.NoError(t, b.memory.engine.SetFaults(ctx, standin.EngineFaults{CutStreamAfter: 2}))
			s := generate(ctx, t, b.engine, job("j"))
			part, err := collect(ctx, s)
			asserter.Code(t, err, buckthorndyke.CodeEngineFailed)
			asserter.Equal(t, len(part), 2)
			_, again := s.Next(ctx)
			asserter.Equal(t, errors.Is(again, err), true)
			rest := job("k")
			rest.Resume = part
			assertWhole(ctx, t, generate(ctx, t, b.engine, rest), part)
		})
	})
	t.Run("whole answer", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			s := generate(ctx, t, b.engine, job("j"))
			assertWhole(ctx, t, s, nil)
			_, err := s.Next(ctx)
			asserter.Equal(t, errors.Is(err, io.EOF), true)
			asserter.NoError(t, s.Close())
		})
	})
	t.Run("bounded answer", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			short := job("j")
			short.MaxTokens = 2
			got, err := collect(ctx, generate(ctx, t, b.engine, short))
			asserter.NoError(t, err)
			asserter.Equal(t, got, standin.ResponseTokens(model, prompt, 2))
		})
	})
	t.Run("the stream outlives the context of its start", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			start, cancel := context.WithCancel(ctx)
			s := generate(start, t, b.engine, job("j"))
			cancel()
			assertWhole(ctx, t, s, nil)
		})
	})
	t.Run("a read that is given up leaves the stream whole", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			s := generate(ctx, t, b.engine, job("j"))
			gone, cancel := context.WithCancel(ctx)
			cancel()
			if token, err := s.Next(gone); err == nil {
				assertWhole(ctx, t, s, []string{token.Text})
				return
			}
			assertWhole(ctx, t, s, nil)
		})
	})
	t.Run("cancel", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			s := generate(ctx, t, b.engine, job("j"))
			asserter.NoError(t, b.engine.Cancel(ctx, "j"))
			asserter.NoError(t, b.engine.Cancel(ctx, "unknown"))
			_, err := collect(ctx, s)
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
		}, func(cfg *standin.EngineConfig) { cfg.TokenInterval = buckthorndyke.Hour })
	})
}

func TestEngineOrders(t *testing.T) {
	t.Run("down", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			asserter.NoError(t, b.memory.engine.SetFaults(ctx, standin.EngineFaults{Down: true}))
			_, err := b.engine.Order(ctx, loadOrder(1))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			_, err = b.engine.Status(ctx)
			asserter.Verdict(t, err, buckthorndyke.NotRun)
		})
	})
	t.Run("old fencing number", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			fence := buckthorndyke.Order{FencingToken: 9, ID: "f", Kind: buckthorndyke.OrderFence}
			assertOrder(ctx, t, b.engine, fence, buckthorndyke.OrderDone)
			assertOrder(ctx, t, b.engine, loadOrder(8), buckthorndyke.OrderFenced)
		})
	})
	t.Run("lost answer", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			asserter.NoError(t, b.memory.engine.SetFaults(ctx, standin.EngineFaults{LoseOrderReplies: 1}))
			_, err := b.engine.Order(ctx, loadOrder(1))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			assertOrder(ctx, t, b.engine, loadOrder(1), buckthorndyke.OrderDone)
			journal, err := b.memory.engine.Journal(ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, journal.Loads["spare"], 1)
		})
	})
	t.Run("weights that the store lacks", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			order := loadOrder(1)
			order.Model = "missing"
			assertOrder(ctx, t, b.engine, order, buckthorndyke.OrderFailed)
		})
	})
	t.Run("status", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			assertOrder(ctx, t, b.engine, loadOrder(3), buckthorndyke.OrderDone)
			got, err := b.engine.Status(ctx)
			asserter.NoError(t, err)
			want, err := b.memory.engine.Status(ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, got, want)
			asserter.Equal(t, got.FencingToken, 3)
			asserter.Equal(t, got.Orders["o"], buckthorndyke.OrderDone)
			asserter.Equal(t, got.Cached["spare"], buckthorndyke.TierDisk)
			asserter.Equal(t, len(got.Residents), 2)
		})
	})
}

func assertOrder(
	ctx context.Context, t *testing.T, engine buckthorndyke.Engine, order buckthorndyke.Order, want buckthorndyke.OrderState,
) {
	t.Helper()
	got, err := engine.Order(ctx, order)
	asserter.NoError(t, err)
	asserter.Equal(t, got, want)
}

func generate(
	ctx context.Context, t *testing.T, engine buckthorndyke.Engine, job buckthorndyke.Job,
) buckthorndyke.TokenStream {
	t.Helper()
	s, err := engine.Generate(ctx, job)
	asserter.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func job(id buckthorndyke.JobID) buckthorndyke.Job {
	return buckthorndyke.Job{ID: id, Model: model, Prompt: prompt, Request: "r1"}
}

func loadOrder(fence buckthorndyke.Offset) buckthorndyke.Order {
	return buckthorndyke.Order{FencingToken: fence, ID: "o", Kind: buckthorndyke.OrderLoad, MemoryMB: 100, Model: "spare"}
}
