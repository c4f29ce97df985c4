package buckthorndyke

import (
	"cmp"
	"iter"

	"github.com/benbjohnson/immutable"
)

// keyComparer compares the keys of a Table.
type keyComparer[K cmp.Ordered] struct{}

// Compare implements immutable.Comparer.
func (keyComparer[K]) Compare(a, b K) int {
	return cmp.Compare(a, b)
}

// Table is an immutable map with sorted keys. The zero value is an empty table. The
// results of With and Without share most of their memory with the receiver.
type Table[K cmp.Ordered, V any] struct {
	m *immutable.SortedMap[K, V]
}

// NewTable returns a table of the entries. For many entries it allocates much less
// memory than a call of With for each.
func NewTable[K cmp.Ordered, V any](entries iter.Seq2[K, V]) Table[K, V] {
	b := immutable.NewSortedMapBuilder[K, V](keyComparer[K]{})
	for k, v := range entries {
		b.Set(k, v)
	}
	if b.Len() == 0 {
		return Table[K, V]{}
	}
	return Table[K, V]{m: b.Map()}
}

// TableOf returns a table of values by the keys that keyOf returns for them.
func TableOf[K cmp.Ordered, V any](values []V, keyOf func(v V) K) Table[K, V] {
	return NewTable(func(yield func(K, V) bool) {
		for _, v := range values {
			if !yield(keyOf(v), v) {
				return
			}
		}
	})
}

// All yields the entries in the order of their keys.
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

// Get returns the value of k, or false if there is none.
func (t Table[K, V]) Get(k K) (V, bool) {
	if t.m == nil {
		var zero V
		return zero, false
	}
	return t.m.Get(k)
}

// Has reports whether t contains k.
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

// Same reports whether t and other are the same table, without comparing entries. It
// may return false for tables with equal entries.
func (t Table[K, V]) Same(other Table[K, V]) bool {
	return t.m == other.m
}

// With returns a copy of t in which k has the value v.
func (t Table[K, V]) With(k K, v V) Table[K, V] {
	m := t.m
	if m == nil {
		m = immutable.NewSortedMap[K, V](keyComparer[K]{})
	}
	return Table[K, V]{m: m.Set(k, v)}
}

// Without returns a copy of t without k.
func (t Table[K, V]) Without(k K) Table[K, V] {
	if t.m == nil {
		return t
	}
	return Table[K, V]{m: t.m.Delete(k)}
}
