package connector_test

import (
	"context"
	"errors"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

func TestLog(t *testing.T) {
	t.Run("down", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			asserter.NoError(t, f.standIns.log.SetFaults(ctx, standin.LogFaults{Down: true}))
			_, err := f.log.Append(ctx, stream, []byte("a"))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			_, err = f.log.Read(ctx, stream, 1, 0)
			asserter.Code(t, err, buckthorndyke.CodeLogUnavailable)
		})
	})
	t.Run("lost response", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			asserter.NoError(t, f.standIns.log.SetFaults(ctx, standin.LogFaults{LoseReplies: 1}))
			_, err := f.log.Append(ctx, stream, []byte("a"))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			assertRecords(ctx, t, f.log, 1, "a")
		})
	})
	t.Run("canceled before it was sent", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			gone, cancel := context.WithCancel(ctx)
			cancel()
			_, err := f.log.Append(gone, stream, []byte("a"))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Equal(t, errors.Is(err, context.Canceled), true)
		})
	})
	t.Run("canceled while it waits for the response", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			asserter.NoError(t, f.standIns.log.SetFaults(ctx, standin.LogFaults{Delay: buckthorndyke.Day}))
			short, cancel := cancelOnceSent(ctx)
			defer cancel()
			_, err := f.log.Append(short, stream, []byte("a"))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.Code(t, err, buckthorndyke.CodeDeadline)
		})
	})
	t.Run("appends return consecutive offsets", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			for want := buckthorndyke.Offset(1); want <= 2; want++ {
				got, err := f.log.Append(ctx, stream, []byte("a"))
				asserter.NoError(t, err)
				asserter.Equal(t, got, want)
			}
			assertRecords(ctx, t, f.log, 1, "a", "a")
			assertRecords(ctx, t, f.log, 3)
		})
	})
	t.Run("a read from a deleted record returns the oldest offset", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			for _, data := range []string{"a", "b", "c", "d"} {
				_, err := f.log.Append(ctx, stream, []byte(data))
				asserter.NoError(t, err)
			}
			batch, err := f.log.Read(ctx, stream, 1, buckthorndyke.Hour)
			asserter.NoError(t, err)
			asserter.Equal(t, batch, buckthorndyke.LogBatch{First: 2, Tail: 4})
			assertRecords(ctx, t, f.log, 2, "b", "c", "d")
		})
	})
	t.Run("a read waits for a record", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			read := make(chan string, 1)
			go func() {
				batch, err := f.log.Read(ctx, stream, 1, buckthorndyke.Hour)
				if err != nil || len(batch.Entries) == 0 {
					read <- "nothing"
					return
				}
				read <- string(batch.Entries[0].Data)
			}()
			_, err := f.log.Append(ctx, stream, []byte("a"))
			asserter.NoError(t, err)
			asserter.Equal(t, <-read, "a")
		})
	})
	t.Run("a read of an empty stream ends after its wait", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			batch, err := f.log.Read(ctx, "claims/1", 1, buckthorndyke.Millisecond)
			asserter.NoError(t, err)
			asserter.Equal(t, batch, buckthorndyke.LogBatch{First: 1})
		})
	})
}

func TestVMList(t *testing.T) {
	t.Run("down", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			asserter.NoError(t, f.standIns.list.SetFaults(ctx, standin.VMListFaults{Down: true}))
			_, err := f.list.List(ctx)
			asserter.Verdict(t, err, buckthorndyke.NotRun)
		})
	})
	t.Run("list", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			want := []buckthorndyke.VM{
				{Address: "127.0.0.1:1", Domain: "a", ID: "entry-1", Role: buckthorndyke.RoleEntry},
				{Domain: "b", ID: "bookings-1", Leaving: true, Role: buckthorndyke.RoleService, Service: "bookings"},
			}
			asserter.NoError(t, f.standIns.list.Set(ctx, want))
			got, err := f.list.List(ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, got, want)
		})
	})
}

func TestWeightStore(t *testing.T) {
	t.Run("down", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			asserter.NoError(t, f.standIns.weights.SetFaults(ctx, standin.StoreFaults{Down: true}))
			_, err := f.weights.Describe(ctx, "spare")
			asserter.Verdict(t, err, buckthorndyke.NotRun)
		})
	})
	t.Run("unknown model", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			_, err := f.weights.Describe(ctx, "a/b")
			asserter.Code(t, err, buckthorndyke.CodeModelUnknown)
		})
	})
	t.Run("describe", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			got, err := f.weights.Describe(ctx, "spare")
			asserter.NoError(t, err)
			asserter.Equal(t, got, buckthorndyke.Checkpoint{Model: "spare", SizeMB: 100})
		})
	})
}

func assertRecords(
	ctx context.Context, t *testing.T, log buckthorndyke.Log, from buckthorndyke.Offset, want ...string,
) {
	t.Helper()
	batch, err := log.Read(ctx, stream, from, 0)
	asserter.NoError(t, err)
	var got []string
	for i, e := range batch.Entries {
		asserter.Equal(t, e.Offset, from+buckthorndyke.Offset(i))
		got = append(got, string(e.Data))
	}
	asserter.Equal(t, got, want)
}
