package chooser_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/chooser"
)

func TestOverloaded(t *testing.T) {
	const full = 1000
	for _, tc := range []struct {
		name       string
		candidates []chooser.Candidate
		want       []buckthorndyke.RunnerID
	}{
		{"loaded runners come before cold ones", []chooser.Candidate{
			{Live: true, Runner: "cold"}, {Live: true, Load: full, Loaded: true, Runner: "loaded"},
		}, []buckthorndyke.RunnerID{"loaded", "cold"}},
		{"a cold runner comes before an overloaded one", []chooser.Candidate{
			{Live: true, Load: 2 * full, Loaded: true, Runner: "crowded"}, {Live: true, Runner: "cold"},
		}, []buckthorndyke.RunnerID{"cold", "crowded"}},
		{"overloaded runners that have loaded the model come before overloaded cold ones", []chooser.Candidate{
			{Live: true, Load: 2 * full, Runner: "cold"}, {Live: true, Load: 3 * full, Loaded: true, Runner: "loaded"},
		}, []buckthorndyke.RunnerID{"loaded", "cold"}},
		{"runners without a live owner come last", []chooser.Candidate{
			{Loaded: true, Runner: "orphan"}, {Live: true, Load: 2 * full, Runner: "crowded"},
		}, []buckthorndyke.RunnerID{"crowded", "orphan"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			asserter.Equal(t, chooser.Order("hall", tc.candidates, 1), tc.want)
		})
	}
}
