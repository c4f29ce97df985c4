package attributor_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/attributor"
)

// TestPace guards against servers that count as failing because a client does not read, and
// against failing servers that are excused because a client was once slow.
func TestPace(t *testing.T) {
	const second = buckthorndyke.Second
	t.Run("a response that was never held up was not cut for that", func(t *testing.T) {
		asserter.True(t, !attributor.Pace{}.WithRead(3*second).WithWrite(0).Unread(), "the response counts as unread")
	})
	t.Run("one long write leaves a response unread", func(t *testing.T) {
		asserter.True(t, attributor.Pace{}.WithWrite(3*second).WithRead(0).Unread(), "the response counts as read")
	})
	t.Run("many short writes leave a response unread", func(t *testing.T) {
		var p attributor.Pace
		for range 5 {
			p = p.WithWrite(second / 4).WithRead(1)
		}
		asserter.True(t, p.Unread(), "the response counts as read")
	})
	t.Run("a read that waits shows that the response was read", func(t *testing.T) {
		p := attributor.Pace{}.WithWrite(3 * second).WithRead(second).WithWrite(second / 4)
		asserter.True(t, !p.Unread(), "the response counts as unread")
	})
	t.Run("short reads on a busy VM do not show that the response was read", func(t *testing.T) {
		asserter.True(t, attributor.Pace{}.WithRead(90).WithWrite(3*second).WithRead(40).WithRead(40).Unread(), "the response counts as read")
	})
	t.Run("short reads show in sum that the response was read", func(t *testing.T) {
		p := attributor.Pace{}.WithWrite(3 * second)
		for range 5 {
			p = p.WithRead(20).WithWrite(1)
		}
		asserter.True(t, !p.Unread(), "the response counts as unread")
	})
	t.Run("a clock that goes back does not shorten the time", func(t *testing.T) {
		asserter.True(t, attributor.Pace{}.WithWrite(second).WithWrite(-second).Unread(), "the response counts as read")
	})
}
