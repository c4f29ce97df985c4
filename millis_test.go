package buckthorndyke_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestMillisWithDrift(t *testing.T) {
	t.Run("adds the drift", func(t *testing.T) {
		asserter.Equal(t, (10 * buckthorndyke.Second).WithDrift(20), 10_200)
	})
	t.Run("rounds up", func(t *testing.T) {
		asserter.Equal(t, buckthorndyke.Millis(1).WithDrift(1), 2)
	})
	t.Run("without drift returns the same time", func(t *testing.T) {
		asserter.Equal(t, buckthorndyke.Millis(333).WithDrift(0), 333)
	})
}
