package evictor

import (
	"cmp"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// Candidate is a loaded model or adapter that could be evicted for another.
type Candidate struct {
	// Base is the base model of an adapter, or empty.
	Base buckthorndyke.ModelID
	// InUse is set if the model must not be evicted because requests are in flight or
	// wait for it.
	InUse    bool
	MemoryMB int
	Model    buckthorndyke.ModelID
	// Paid is set if the last request for the model was paid. Free requests cannot
	// evict such a model.
	Paid bool
	// Worth is the value of keeping the model loaded. Models with a low worth are
	// evicted first.
	Worth float64
}

// ChooseVictims returns the models to evict, in this order, to free at least needMB
// for a load that requests of the given rank wait for. It returns none if that much
// memory cannot be freed. Models in use are never evicted, nor are models of paid
// requests for free ones, nor bases whose adapters stay loaded, nor the models in
// keep, which the load needs.
func ChooseVictims(candidates []Candidate, needMB int, rank buckthorndyke.Rank, keep ...buckthorndyke.ModelID) []buckthorndyke.ModelID {
	protected := make(map[buckthorndyke.ModelID]bool)
	for _, model := range keep {
		protected[model] = true
	}
	for _, c := range candidates {
		if c.InUse || c.Paid && !rank.Paid() {
			protected[c.Model] = true
		}
	}
	for _, c := range candidates {
		if c.Base != "" && protected[c.Model] {
			protected[c.Base] = true
		}
	}
	ordered := slices.Clone(candidates)
	slices.SortStableFunc(ordered, compareCandidates)
	return selectVictims(ordered, protected, needMB)
}

// compareCandidates orders adapters before bases and then by ascending worth.
func compareCandidates(a, b Candidate) int {
	if (a.Base == "") != (b.Base == "") {
		if a.Base != "" {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Worth, b.Worth), cmp.Compare(a.Model, b.Model))
}

// selectVictims selects candidates in order until needMB is free, and then drops those
// that are not needed for that, except for adapters whose base is selected.
func selectVictims(ordered []Candidate, protected map[buckthorndyke.ModelID]bool, needMB int) []buckthorndyke.ModelID {
	var selected []Candidate
	freed := 0
	for _, c := range ordered {
		if freed >= needMB {
			break
		}
		if !protected[c.Model] {
			selected = append(selected, c)
			freed += c.MemoryMB
		}
	}
	if freed < needMB {
		return nil
	}
	var victims []buckthorndyke.ModelID
	for i, c := range selected {
		if freed-c.MemoryMB >= needMB && !containsBase(selected[i+1:], c.Base) {
			freed -= c.MemoryMB
			continue
		}
		victims = append(victims, c.Model)
	}
	return victims
}

// containsBase reports whether selected contains the model base. It returns false if
// base is empty.
func containsBase(selected []Candidate, base buckthorndyke.ModelID) bool {
	return base != "" && slices.ContainsFunc(selected, func(c Candidate) bool { return c.Model == base })
}
