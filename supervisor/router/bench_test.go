package router_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
)

// BenchmarkOrder measures sorting the permitted runners of a model.
func BenchmarkOrder(b *testing.B) {
	for _, runners := range []int{2, 4, 16} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			candidates := make([]chooser.Candidate, runners)
			for i := range candidates {
				candidates[i] = chooser.Candidate{
					Live: true, Load: 10 * i, Loaded: i%2 == 0, Runner: buckthorndyke.RunnerID(strconv.Itoa(i)),
				}
			}
			b.ReportAllocs()
			seed := uint64(0)
			for b.Loop() {
				chooser.Order("model", candidates, seed)
				seed++
			}
		})
	}
}

// BenchmarkGenerate measures a complete request of four tokens. The time includes
// that of the fakes.
func BenchmarkGenerate(b *testing.B) {
	f := newFixture()
	r := f.launch(b.Context())
	f.updates <- buckthorndyke.StateUpdate{CaughtUp: true, State: f.state}
	// The channel of the fixture buffers one update: the second send returns once the
	// router has received the first.
	f.updates <- buckthorndyke.StateUpdate{CaughtUp: true, State: f.state}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := read(b.Context(), r, request); err != nil {
			b.Fatal(err)
		}
		f.discardRecords()
	}
}
