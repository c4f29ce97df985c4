package evictor_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/evictor"
)

func TestChooseVictims(t *testing.T) {
	const paid, free = buckthorndyke.RankOrdinary, buckthorndyke.RankFree
	base := evictor.Candidate{MemoryMB: 10, Model: "base", Worth: 1}
	other := evictor.Candidate{MemoryMB: 10, Model: "other", Worth: 2}
	adapter := evictor.Candidate{Base: "base", MemoryMB: 1, Model: "adapter", Worth: 9}
	used := func(c evictor.Candidate) evictor.Candidate { c.InUse = true; return c }
	cases := []struct {
		name       string
		candidates []evictor.Candidate
		need       int
		rank       buckthorndyke.Rank
		keep       buckthorndyke.ModelID
		want       []buckthorndyke.ModelID
	}{
		{"the model with the lowest worth is evicted first", []evictor.Candidate{other, base}, 5, paid, "", ids("base")},
		{"a model in use is not evicted", []evictor.Candidate{used(base), other}, 5, paid, "", ids("other")},
		{"nothing is evicted if that does not free enough memory", []evictor.Candidate{used(base), other}, 15, paid, "", nil},
		{"adapters are evicted before bases", []evictor.Candidate{base, adapter}, 1, paid, "", ids("adapter")},
		{"an adapter is evicted with its base", []evictor.Candidate{base, adapter}, 10, paid, "", ids("adapter", "base")},
		{"a base is not evicted while its adapter is in use", []evictor.Candidate{base, used(adapter), other}, 5, paid, "", ids("other")},
		{"the base that the load needs is not evicted", []evictor.Candidate{base, other}, 5, paid, "base", ids("other")},
		{"an adapter that need not be evicted stays loaded", []evictor.Candidate{adapter, other}, 10, paid, "", ids("other")},
		{"a free request evicts no model of a paid one", []evictor.Candidate{{MemoryMB: 10, Model: "p", Paid: true}}, 5, free, "", nil},
		{"a paid request evicts a model of a paid one", []evictor.Candidate{{MemoryMB: 10, Model: "p", Paid: true}}, 5, paid, "", ids("p")},
		{"a free request evicts no base of an adapter of a paid one", []evictor.Candidate{base, {Base: "base", Model: "a", Paid: true}}, 5, free, "", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			asserter.Equal(t, evictor.ChooseVictims(c.candidates, c.need, c.rank, c.keep), c.want)
		})
	}
}

func ids(models ...buckthorndyke.ModelID) []buckthorndyke.ModelID {
	return models
}
