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
	// nextSequence is the sequence number of the next entry.
	nextSequence uint64
	// prefixes lists the prefixes in the order in which they were last served.
	prefixes buckthorndyke.Table[uint64, uint64]
	// runners holds the runner of each prefix.
	runners buckthorndyke.Table[uint64, affinityEntry]
}

// affinityEntry is the runner that last served a prefix.
type affinityEntry struct {
	runner   buckthorndyke.RunnerID
	sequence uint64
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
		a.prefixes = a.prefixes.Without(old.sequence)
	}
	a.runners = a.runners.With(prefix, affinityEntry{runner: runner, sequence: a.nextSequence})
	a.prefixes = a.prefixes.With(a.nextSequence, prefix)
	a.nextSequence++
	for sequence, oldest := range a.prefixes.All() {
		if a.prefixes.Len() <= affinityEntries {
			break
		}
		a.prefixes = a.prefixes.Without(sequence)
		a.runners = a.runners.Without(oldest)
	}
	return a
}
