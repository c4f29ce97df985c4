package router_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
)

// BenchmarkOrder measures the choice among the permitted runners of a model.
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

// BenchmarkGenerate measures a whole request of four tokens among fakes: all that
// the router does for it, and the fakes' part.
func BenchmarkGenerate(b *testing.B) {
	f := newFixture()
	r := f.launch(b.Context())
	f.updates <- buckthorndyke.StateUpdate{CaughtUp: true, State: f.state}
	// The fixture's channel holds one state: the second send returns once the
	// router has taken the first.
	f.updates <- buckthorndyke.StateUpdate{CaughtUp: true, State: f.state}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := read(b.Context(), r, request); err != nil {
			b.Fatal(err)
		}
		f.discardRecords()
	}
}
