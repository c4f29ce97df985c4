package evictor

import (
	"cmp"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// Candidate is a loaded model or adapter that may be evicted for another.
type Candidate struct {
	// Base is the base model of an adapter, or empty.
	Base buckthorndyke.ModelID
	// Used is set while work is in flight or waits.
	InUse    bool
	MemoryMB int
	Model    buckthorndyke.ModelID
	// Paid is set if the last request was paid for or paid work waits for it.
	Paid bool
	// Worth is the worth of keeping the model.
	Worth float64
}

// ChooseVictims returns the models to evict, in this order, to free at least
// needMB for a load that work of rank waits for. It returns none if that cannot
// be had: models in use are never evicted, nor those of paid work for free
// work, nor a base whose adapters stay. keep names models that the load needs.
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

// compareCandidates puts adapters before bases and the least worth first.
func compareCandidates(a, b Candidate) int {
	if (a.Base == "") != (b.Base == "") {
		if a.Base != "" {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Worth, b.Worth), cmp.Compare(a.Model, b.Model))
}

// takeVictims takes candidates in order until needMB is free, and then leaves
// out those that turn out not to be needed.
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

// baseTaken reports whether taken holds the base of an adapter.
func containsBase(selected []Candidate, base buckthorndyke.ModelID) bool {
	return base != "" && slices.ContainsFunc(selected, func(c Candidate) bool { return c.Model == base })
}
