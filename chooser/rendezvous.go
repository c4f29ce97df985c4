package chooser

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns ids in the order of their rendezvous hash with key. Adding
// or removing an id leaves the order of the others as it was.
func Rendezvous[T ~string](key string, ids []T) []T {
	type weighed struct {
		id     T
		weight uint64
	}
	all := make([]weighed, len(ids))
	for i, id := range ids {
		all[i] = weighed{id: id, weight: weight(key, string(id))}
	}
	slices.SortFunc(all, func(a, b weighed) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	order := make([]T, len(all))
	for i, w := range all {
		order[i] = w.id
	}
	return order
}

// weight returns the rendezvous hash of key and id.
func weight(key, id string) uint64 {
	return xxhash.Sum64String(key + "\x00" + id)
}
