package buckthorndyke_test

import (
	"maps"
	"slices"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestNewTable(t *testing.T) {
	t.Run("yields its entries in the order of their keys", func(t *testing.T) {
		table := buckthorndyke.NewTable(maps.All(map[string]int{"c": 3, "a": 1, "b": 2}))
		var keys []string
		for k := range table.All() {
			keys = append(keys, k)
		}
		asserter.Equal(t, keys, []string{"a", "b", "c"})
	})
	t.Run("is not changed by With and Without", func(t *testing.T) {
		entries := slices.Repeat([]int{0}, 1000)
		table := buckthorndyke.NewTable(slices.All(entries))
		_ = table.With(500, 1).Without(501)
		for k := range entries {
			v, ok := table.Get(k)
			asserter.Equal(t, v == 0 && ok, true)
		}
	})
	t.Run("without entries is the zero value", func(t *testing.T) {
		empty := buckthorndyke.NewTable(maps.All(map[string]int{}))
		asserter.Equal(t, empty.Same(buckthorndyke.Table[string, int]{}), true)
	})
}
