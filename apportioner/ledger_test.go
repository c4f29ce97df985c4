package apportioner

import (
	"strconv"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

// newTerm returns the ledger of a leader whose term has just begun.
func newTerm() Ledger {
	callers := buckthorndyke.NewCallers().WithCaller(buckthorndyke.Caller{Allotment: allotmentOf(5000), ID: simCaller})
	return NewLedger(bounds).WithCallers(callers).WithTerm(buckthorndyke.Term{}, 0)
}

// reportUse returns the ledger after the first report of a VM, and the share that the VM is told.
func reportUse(t *testing.T, l Ledger, vm buckthorndyke.VMID, share float64, now buckthorndyke.Millis) (Ledger, float64) {
	t.Helper()
	report := buckthorndyke.DemandReport{
		Allotments:  []buckthorndyke.AllotmentUse{{Asked: 500, Caller: simCaller, Share: share, Waiting: 500}},
		Granted:     true,
		Incarnation: 1,
		Number:      1,
	}
	l, grants := l.WithReport(vm, report, now)
	asserter.Equal(t, len(grants), 1)
	return l, grants[0].Share
}

func TestLedger(t *testing.T) {
	// Guards against negative shares, which leave a positive rest that fills the bucket.
	t.Run("a leader that waits for VMs with shares gives none", func(t *testing.T) {
		l := newTerm()
		for i := range 90 {
			var share float64
			l, share = reportUse(t, l, buckthorndyke.VMID(strconv.Itoa(i)), 0, 500)
			asserter.Equal(t, share, 0)
		}
		a, _ := l.accounts.Get(simCaller)
		asserter.Equal(t, a.pool, 0)
	})
	// Guards against giving shares that VMs have: the others' are unknown when the first report
	// with a share arrives, however late that is.
	t.Run("the first VM with a share does not get the others' shares", func(t *testing.T) {
		_, share := reportUse(t, newTerm(), "vm-1", 0.25, 10*second)
		asserter.True(t, share <= 0.25, "the VM is told a larger share")
	})
}
