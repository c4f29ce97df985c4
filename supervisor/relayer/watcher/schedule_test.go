package watcher

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestSchedule(t *testing.T) {
	const now = 100 * buckthorndyke.Second
	read := schedule{limit: 2 * buckthorndyke.Second}.WithRead(now, 7)
	told := func(p schedule, at buckthorndyke.Millis, mark uint64) schedule {
		p, _ = p.WithNotice(buckthorndyke.SeenVersion{At: at, VersionTag: mark})
		return p
	}
	assertDue := func(t *testing.T, p schedule, after buckthorndyke.Millis) {
		t.Helper()
		asserter.Equal(t, p.Due(), now+after)
	}
	assertLacks := func(t *testing.T, p schedule, at buckthorndyke.Millis, mark uint64, want bool) {
		t.Helper()
		_, lacks := p.WithNotice(buckthorndyke.SeenVersion{At: at, VersionTag: mark})
		asserter.Equal(t, lacks, want)
	}
	t.Run("a VM that is told nothing reads well within the limit", func(t *testing.T) {
		assertDue(t, read, 1400)
	})
	t.Run("the leader reads more often", func(t *testing.T) {
		assertDue(t, read.WithLeading(true), 500)
	})
	t.Run("the leader's word puts a read off", func(t *testing.T) {
		assertDue(t, told(read, now+900, 7), 2300)
	})
	t.Run("a read is not put off for ever", func(t *testing.T) {
		assertDue(t, told(read, now+14900, 7), 15000)
	})
	t.Run("an older word changes nothing", func(t *testing.T) {
		assertDue(t, told(read, now-100, 7), 1400)
		assertLacks(t, read, now-100, 8, false)
	})
	t.Run("a newer word of something else says that a change is lacking", func(t *testing.T) {
		assertLacks(t, read, now+100, 8, true)
		assertLacks(t, read, now+100, 7, false)
	})
	t.Run("a leader's word makes a wait for changes needless", func(t *testing.T) {
		asserter.Equal(t, read.LeaderConfirmedUntil(), 0)
		asserter.Equal(t, told(read, now+900, 7).LeaderConfirmedUntil(), now+2300)
		asserter.Equal(t, told(read, now+900, 8).LeaderConfirmedUntil(), 0)
		asserter.Equal(t, told(read, now+900, 7).WithLeading(true).LeaderConfirmedUntil(), 0)
	})
	t.Run("a leader that has read nothing says nothing", func(t *testing.T) {
		assertLacks(t, read, now+100, 0, false)
	})
}
