package chooser

import (
	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndyke/buckthorndyke"
)

// Limits of the prefix hints.
const (
	// affinityEntries is the number of prefixes that are remembered.
	affinityEntries = 4096
	// prefixBytes is the number of bytes of a prompt that identify its prefix.
	prefixBytes = 256
)

// Affinity remembers which runner last served a prefix. It is only a hint: its size
// is limited, and engines drop cached prefixes without notice. It is immutable.
type Affinity struct {
	// ages lists the prefixes by age, the oldest first.
	ages buckthorndyke.Table[uint64, uint64]
	// next is the age of the next entry. Later entries have higher ages.
	next uint64
	// runners holds the runner of each prefix.
	runners buckthorndyke.Table[uint64, affinityEntry]
}

// affinityEntry is the runner that last served a prefix.
type affinityEntry struct {
	age    uint64
	runner buckthorndyke.RunnerID
}

// PrefixOf returns the hash of a model and the prefix of a prompt. It returns false
// if the prompt is too short for a cached prefix to matter.
func PrefixOf(model buckthorndyke.ModelID, prompt string) (uint64, bool) {
	if len(prompt) < prefixBytes {
		return 0, false
	}
	return xxhash.Sum64String(string(model) + "\x00" + prompt[:prefixBytes]), true
}

// RunnerOf returns the runner that last served prefix.
func (a Affinity) RunnerOf(prefix uint64) (buckthorndyke.RunnerID, bool) {
	found, ok := a.runners.Get(prefix)
	return found.runner, ok
}

// WithRunner returns a copy that remembers that runner served prefix.
func (a Affinity) WithRunner(prefix uint64, runner buckthorndyke.RunnerID) Affinity {
	if old, ok := a.runners.Get(prefix); ok {
		a.ages = a.ages.Without(old.age)
	}
	a.runners = a.runners.With(prefix, affinityEntry{age: a.next, runner: runner})
	a.ages = a.ages.With(a.next, prefix)
	a.next++
	for age, oldest := range a.ages.All() {
		if a.ages.Len() <= affinityEntries {
			break
		}
		a.ages = a.ages.Without(age)
		a.runners = a.runners.Without(oldest)
	}
	return a
}
