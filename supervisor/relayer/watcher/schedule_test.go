package watcher

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestSchedule(t *testing.T) {
	const now = 100 * buckthorndyke.Second
	read := schedule{limit: 2 * buckthorndyke.Second}.WithRead(now, 7)
	notified := func(s schedule, at buckthorndyke.Millis, versionTag uint64) schedule {
		s, _ = s.WithNotice(buckthorndyke.SeenVersion{At: at, VersionTag: versionTag})
		return s
	}
	assertDue := func(t *testing.T, s schedule, after buckthorndyke.Millis) {
		t.Helper()
		asserter.Equal(t, s.Due(), now+after)
	}
	assertLacks := func(t *testing.T, s schedule, at buckthorndyke.Millis, versionTag uint64, want bool) {
		t.Helper()
		_, lacks := s.WithNotice(buckthorndyke.SeenVersion{At: at, VersionTag: versionTag})
		asserter.Equal(t, lacks, want)
	}
	t.Run("a VM without notices reads well within the limit", func(t *testing.T) {
		assertDue(t, read, 1400)
	})
	t.Run("the leader reads more often", func(t *testing.T) {
		assertDue(t, read.WithLeading(true), 500)
	})
	t.Run("a notice postpones a read", func(t *testing.T) {
		assertDue(t, notified(read, now+900, 7), 2300)
	})
	t.Run("a read is not postponed indefinitely", func(t *testing.T) {
		assertDue(t, notified(read, now+14900, 7), 15000)
	})
	t.Run("a notice older than the last read changes nothing", func(t *testing.T) {
		assertDue(t, notified(read, now-100, 7), 1400)
		assertLacks(t, read, now-100, 8, false)
	})
	t.Run("a newer notice of another version means that the VM lacks a change", func(t *testing.T) {
		assertLacks(t, read, now+100, 8, true)
		assertLacks(t, read, now+100, 7, false)
	})
	t.Run("a VM whose version the leader confirms need not wait for changes", func(t *testing.T) {
		asserter.Equal(t, read.LeaderConfirmedUntil(), 0)
		asserter.Equal(t, notified(read, now+900, 7).LeaderConfirmedUntil(), now+2300)
		asserter.Equal(t, notified(read, now+900, 8).LeaderConfirmedUntil(), 0)
		asserter.Equal(t, notified(read, now+900, 7).WithLeading(true).LeaderConfirmedUntil(), 0)
	})
	t.Run("a notice without a version changes nothing", func(t *testing.T) {
		assertLacks(t, read, now+100, 0, false)
	})
}
