package standin_test

import (
	"context"
	"testing"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// BenchmarkMemoryLogAppend measures sequential appends of 256 bytes.
func BenchmarkMemoryLogAppend(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	log := startLog(ctx, timekeeper.NewRealClock())
	data := make([]byte, 256)
	b.ReportAllocs()
	for b.Loop() {
		_, err := log.Append(ctx, stream, data)
		asserter.NoError(b, err)
	}
}
