package buckthorndyke

import (
	"cmp"
	"iter"

	"github.com/benbjohnson/immutable"
)

// ordered compares the keys of a Table.
type ordered[K cmp.Ordered] struct{}

// Compare implements immutable.Comparer.
func (ordered[K]) Compare(a, b K) int {
	return cmp.Compare(a, b)
}

// Table is an immutable map with sorted keys. The zero value is empty. With and
// Without share all but the changed path with the receiver.
type Table[K cmp.Ordered, V any] struct {
	m *immutable.SortedMap[K, V]
}

// NewTable returns a table of the entries. It takes much less memory for many
// entries than With for each.
func NewTable[K cmp.Ordered, V any](entries iter.Seq2[K, V]) Table[K, V] {
	b := immutable.NewSortedMapBuilder[K, V](ordered[K]{})
	for k, v := range entries {
		b.Set(k, v)
	}
	if b.Len() == 0 {
		return Table[K, V]{}
	}
	return Table[K, V]{m: b.Map()}
}

// All iterates over the table in the order of its keys.
func (t Table[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if t.m == nil {
			return
		}
		for it := t.m.Iterator(); !it.Done(); {
			k, v, _ := it.Next()
			if !yield(k, v) {
				return
			}
		}
	}
}

// Get returns the value of k and whether there is one.
func (t Table[K, V]) Get(k K) (V, bool) {
	if t.m == nil {
		var none V
		return none, false
	}
	return t.m.Get(k)
}

// Has reports whether k has a value.
func (t Table[K, V]) Has(k K) bool {
	_, ok := t.Get(k)
	return ok
}

// Len returns the number of keys.
func (t Table[K, V]) Len() int {
	if t.m == nil {
		return 0
	}
	return t.m.Len()
}

// Same reports whether t and other are the same version of a table. It compares
// no entries: tables with equal entries may differ.
func (t Table[K, V]) Same(other Table[K, V]) bool {
	return t.m == other.m
}

// With returns a table in which k has the value v.
func (t Table[K, V]) With(k K, v V) Table[K, V] {
	m := t.m
	if m == nil {
		m = immutable.NewSortedMap[K, V](ordered[K]{})
	}
	return Table[K, V]{m: m.Set(k, v)}
}

// Without returns a table in which k has no value.
func (t Table[K, V]) Without(k K) Table[K, V] {
	if t.m == nil {
		return t
	}
	return Table[K, V]{m: t.m.Delete(k)}
}
