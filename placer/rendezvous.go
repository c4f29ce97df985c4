// Package placer decides which runners a model is permitted on, who proposes
// it, and who succeeds an owner. All choices are by rendezvous hashing, so that
// every process makes the same ones and few change when the fleet does.
package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Best returns the n best of ids for key, best first.
func Best[ID ~string](key string, ids []ID, n int) []ID {
	best := make([]scoredID[ID], 0, n+1)
	for _, id := range ids {
		s := scoredID[ID]{id: id, score: Score(key, string(id))}
		at, _ := slices.BinarySearchFunc(best, s, compareScored)
		if at < n {
			best = slices.Insert(best, at, s)[:min(len(best)+1, n)]
		}
	}
	return idsOf(best)
}

// Rank returns ids in the order of their scores for key, best first.
func Rank[ID ~string](key string, ids []ID) []ID {
	scored := make([]scoredID[ID], len(ids))
	for i, id := range ids {
		scored[i] = scoredID[ID]{id: id, score: Score(key, string(id))}
	}
	slices.SortFunc(scored, compareScored)
	return idsOf(scored)
}

// Score returns the rendezvous score of id for key. The highest one wins.
func Score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write(separator)
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Top returns the best of ids for key, or "" if there are none.
func Top[ID ~string](key string, ids []ID) ID {
	var best scoredID[ID]
	for i, id := range ids {
		s := scoredID[ID]{id: id, score: Score(key, string(id))}
		if i == 0 || compareScored(s, best) < 0 {
			best = s
		}
	}
	return best.id
}

// separator keeps key and id apart in a hash.
var separator = []byte{0}

type scoredID[ID ~string] struct {
	id    ID
	score uint64
}

// compareScored sorts by falling score, then by id.
func compareScored[ID ~string](a, b scoredID[ID]) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
}

func idsOf[ID ~string](scored []scoredID[ID]) []ID {
	ids := make([]ID, len(scored))
	for i, s := range scored {
		ids[i] = s.id
	}
	return ids
}
