// Package placer selects the runners that get a replica slot for a model, the VM that
// proposes a placement and the successors of an owner. It uses rendezvous hashing, so
// that all processes make the same choices and a change of the fleet affects few of
// them.
package placer

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous chooses from a set of IDs by rendezvous hashing. It stores the hashes of
// the IDs, so that choices for many keys are cheap.
type Rendezvous[ID ~string] struct {
	entries []hashedID[ID]
}

// NewRendezvous returns a Rendezvous that chooses from ids.
func NewRendezvous[ID ~string](ids []ID) Rendezvous[ID] {
	entries := make([]hashedID[ID], len(ids))
	for i, id := range ids {
		entries[i] = hashedID[ID]{hash: xxhash.Sum64String(string(id)), id: id}
	}
	return Rendezvous[ID]{entries: entries}
}

// Rank returns all IDs in descending order of their scores for key.
func (r Rendezvous[ID]) Rank(key string) []ID {
	scored := make([]scoredID[ID], len(r.entries))
	hash := xxhash.Sum64String(key)
	for i, e := range r.entries {
		scored[i] = scoredID[ID]{id: e.id, score: combineHashes(hash, e.hash)}
	}
	slices.SortFunc(scored, compareScored)
	return idsOf(scored)
}

// Top returns the ID with the highest score for key, or "" if there are no IDs.
func (r Rendezvous[ID]) Top(key string) ID {
	var best scoredID[ID]
	hash := xxhash.Sum64String(key)
	for i, e := range r.entries {
		s := scoredID[ID]{id: e.id, score: combineHashes(hash, e.hash)}
		if i == 0 || compareScored(s, best) < 0 {
			best = s
		}
	}
	return best.id
}

// TopN returns the n IDs with the highest scores for key, best first. It considers
// only those for which use returns true, or all if use is nil.
func (r Rendezvous[ID]) TopN(key string, n int, use func(ID) bool) []ID {
	best := make([]scoredID[ID], 0, n+1)
	hash := xxhash.Sum64String(key)
	var worst uint64
	for i := range r.entries {
		e := &r.entries[i]
		score := combineHashes(hash, e.hash)
		if score < worst || use != nil && !use(e.id) {
			continue
		}
		s := scoredID[ID]{id: e.id, score: score}
		at, _ := slices.BinarySearchFunc(best, s, compareScored)
		best = slices.Insert(best, at, s)[:min(len(best)+1, n)]
		if n > 0 && len(best) == n {
			worst = best[n-1].score
		}
	}
	return idsOf(best)
}

// Rank returns ids in descending order of their scores for key.
func Rank[ID ~string](key string, ids []ID) []ID {
	return NewRendezvous(ids).Rank(key)
}

// Score returns the rendezvous score of id for key. The ID with the highest score is
// chosen.
func Score(key, id string) uint64 {
	return combineHashes(xxhash.Sum64String(key), xxhash.Sum64String(id))
}

// Top returns the one of ids with the highest score for key, or "" if ids is empty.
func Top[ID ~string](key string, ids []ID) ID {
	return NewRendezvous(ids).Top(key)
}

// TopN returns the n of ids with the highest scores for key, best first.
func TopN[ID ~string](key string, ids []ID, n int) []ID {
	return NewRendezvous(ids).TopN(key, n, nil)
}

// hashedID is an ID with its hash.
type hashedID[ID ~string] struct {
	hash uint64
	id   ID
}

type scoredID[ID ~string] struct {
	id    ID
	score uint64
}

// combineHashes returns the score of an ID for a key, given their hashes.
func combineHashes(key, id uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], key)
	binary.LittleEndian.PutUint64(pair[8:], id)
	return xxhash.Sum64(pair[:])
}

// compareScored orders by descending score and then by ID.
func compareScored[ID ~string](a, b scoredID[ID]) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.id, b.id)
}

func idsOf[ID ~string](scored []scoredID[ID]) []ID {
	ids := make([]ID, len(scored))
	for i, s := range scored {
		ids[i] = s.id
	}
	return ids
}
