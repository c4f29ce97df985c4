// Package placer decides which runners a model is permitted on, who proposes
// it, and who succeeds an owner. All choices are by rendezvous hashing, so that
// every process makes the same ones and few change when the fleet does.
package placer

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Field is a set of ids to choose from. It keeps their hashes, so that choices
// for many keys are cheap.
type Rendezvous[ID ~string] struct {
	entries []hashedID[ID]
}

// NewField returns the field of ids.
func NewRendezvous[ID ~string](ids []ID) Rendezvous[ID] {
	entries := make([]hashedID[ID], len(ids))
	for i, id := range ids {
		entries[i] = hashedID[ID]{hash: xxhash.Sum64String(string(id)), id: id}
	}
	return Rendezvous[ID]{entries: entries}
}

// Rank returns all ids in the order of their scores for key, best first.
func (r Rendezvous[ID]) Rank(key string) []ID {
	scored := make([]scoredID[ID], len(r.entries))
	hash := xxhash.Sum64String(key)
	for i, e := range r.entries {
		scored[i] = scoredID[ID]{id: e.id, score: combineHashes(hash, e.hash)}
	}
	slices.SortFunc(scored, compareScored)
	return idsOf(scored)
}

// Top returns the best id for key, or "" if there are none.
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

// Best returns the n best ids for key that use accepts, best first. A nil use
// accepts all.
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

// Rank returns ids in the order of their scores for key, best first.
func Rank[ID ~string](key string, ids []ID) []ID {
	return NewRendezvous(ids).Rank(key)
}

// Score returns the rendezvous score of id for key. The highest one wins.
func Score(key, id string) uint64 {
	return combineHashes(xxhash.Sum64String(key), xxhash.Sum64String(id))
}

// Top returns the best of ids for key, or "" if there are none.
func Top[ID ~string](key string, ids []ID) ID {
	return NewRendezvous(ids).Top(key)
}

// Best returns the n best of ids for key, best first.
func TopN[ID ~string](key string, ids []ID, n int) []ID {
	return NewRendezvous(ids).TopN(key, n, nil)
}

// entry is an id with its hash.
type hashedID[ID ~string] struct {
	hash uint64
	id   ID
}

type scoredID[ID ~string] struct {
	id    ID
	score uint64
}

// combine returns the score of an id with one hash for a key with another.
func combineHashes(key, id uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], key)
	binary.LittleEndian.PutUint64(pair[8:], id)
	return xxhash.Sum64(pair[:])
}

// compareScored sorts by falling score, then by id.
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
