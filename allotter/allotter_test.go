package allotter_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke/allotter"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	limit    = 100 * mebibyte
)

// fill lets holders of at most size bytes take as much as they get, in steps.
func fill(a allotter.Allotment, size int) allotter.Allotment {
	const step = 32 * kibibyte
	for a.Grants(0, step) {
		for held := 0; held < size && a.Grants(held, step); held += step {
			a = a.WithHeld(step)
		}
	}
	return a
}

func TestAllotment(t *testing.T) {
	t.Run("no more is granted than there is", func(t *testing.T) {
		for _, size := range []int{64 * kibibyte, 512 * kibibyte, 4 * mebibyte} {
			asserter.True(t, fill(allotter.New(limit), size).Used() <= limit, "more was granted than there is")
		}
		asserter.True(t, !allotter.New(limit).Grants(0, limit+1), "more was granted than there is")
	})
	t.Run("large holders leave room for smaller ones", func(t *testing.T) {
		large, medium := allotter.New(limit), allotter.New(limit)
		for large.Grants(2*mebibyte, mebibyte) {
			large = large.WithHeld(mebibyte)
		}
		for medium.Grants(512*kibibyte, 256*kibibyte) {
			medium = medium.WithHeld(256 * kibibyte)
		}
		asserter.True(t, large.Grants(512*kibibyte, 256*kibibyte), "a medium holder finds no room")
		asserter.True(t, large.Grants(0, 64*kibibyte), "a small holder finds no room")
		asserter.True(t, medium.Grants(0, 64*kibibyte), "a small holder finds no room beside medium ones")
		asserter.True(t, !medium.Grants(2*mebibyte, mebibyte), "a large holder takes what smaller ones have left")
	})
	t.Run("released memory is granted again", func(t *testing.T) {
		a := fill(allotter.New(limit), 64*kibibyte)
		asserter.True(t, !a.Grants(0, 64*kibibyte), "memory beyond the limit was granted")
		a = a.WithReleased(64 * kibibyte)
		asserter.True(t, a.Grants(0, 64*kibibyte), "released memory was refused")
	})
	t.Run("a release of what an earlier run granted frees no more than there is", func(t *testing.T) {
		asserter.Equal(t, allotter.New(limit).WithReleased(mebibyte).Used(), 0)
	})
}
