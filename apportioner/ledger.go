package apportioner

import (
	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// defaultSettleTime is how long a new leader waits for reports of VMs that hold
	// shares. If none comes, the whole fleet has started again, and nobody holds any.
	defaultSettleTime = buckthorndyke.Second
	// grantedSettleTime is the same if a VM has reported that another leader has granted it
	// something: the others may notice late that this leader has ended, 1.6 s after their
	// last report and 0.7 s after the next one.
	grantedSettleTime = 4 * buckthorndyke.Second
	// sweepInterval is the time between two searches for VMs that no longer report.
	sweepInterval = 250 * buckthorndyke.Millisecond
)

// Ledger is the leader's record of what all VMs hold of the callers' allotments. It is
// immutable.
//
// The right to fill an allotment is divided into shares that add up to 1. The leader fills
// its bucket for the VMs that report to it, and a VM that no leader replies to fills its
// own limit. Two leaders, or a leader and VMs that are cut off from it, therefore never
// fill more than the allotment together.
type Ledger struct {
	accounts buckthorndyke.Table[buckthorndyke.CallerID, account]
	bounds   buckthorndyke.AllotmentBounds
	callers  buckthorndyke.Callers
	// granted is set once a VM has reported that another leader has granted it something.
	granted bool
	reports buckthorndyke.Table[buckthorndyke.VMID, lastReport]
	// settleTime is how long the leader waits for VMs that hold shares.
	settleTime buckthorndyke.Millis
	// since is the beginning of the term.
	since buckthorndyke.Millis
}

// lastReport identifies the last report of a VM.
type lastReport struct {
	incarnation buckthorndyke.Incarnation
	number      uint64
}

// LedgerOption configures a Ledger.
type LedgerOption func(*Ledger)

// WithSettleTime sets how long a new leader waits for VMs that hold shares.
func WithSettleTime(d buckthorndyke.Millis) LedgerOption {
	return func(l *Ledger) { l.settleTime = d }
}

// NewLedger returns the ledger of a VM that does not lead.
func NewLedger(bounds buckthorndyke.AllotmentBounds, opts ...LedgerOption) Ledger {
	l := Ledger{bounds: bounds, settleTime: defaultSettleTime}
	for _, opt := range opts {
		opt(&l)
	}
	return l
}

// WithCallers returns the ledger with another version of the configuration.
func (l Ledger) WithCallers(callers buckthorndyke.Callers) Ledger {
	l.callers = callers
	for id, a := range l.accounts.All() {
		caller, ok := callers.Get(id)
		if !ok || caller.Unlimited() {
			l.accounts = l.accounts.Without(id)
			continue
		}
		a.terms = termsOf(caller.Allotment, l.bounds)
		// The sums depend on the terms and are computed again with the next report.
		a.sweptAt = -sweepInterval
		l.accounts = l.accounts.With(id, a)
	}
	return l
}

// WithTerm returns the ledger of a leader whose term begins at now. It knows nothing of
// what VMs hold.
func (l Ledger) WithTerm(now buckthorndyke.Millis) Ledger {
	l.accounts = buckthorndyke.Table[buckthorndyke.CallerID, account]{}
	l.reports = buckthorndyke.Table[buckthorndyke.VMID, lastReport]{}
	l.granted, l.since = false, now
	return l
}

// WithReport returns the ledger after a VM's report, and the grants of the reply. A report
// that arrives after a later one of the same process changes nothing.
func (l Ledger) WithReport(
	vm buckthorndyke.VMID, r buckthorndyke.DemandReport, now buckthorndyke.Millis,
) (Ledger, []buckthorndyke.AllotmentGrant) {
	if r.Number == 0 {
		// The VM's configuration limits no caller.
		return l, nil
	}
	last, known := l.reports.Get(vm)
	if known && last.incarnation == r.Incarnation && r.Number <= last.number {
		return l, nil
	}
	// This leader's own grants to a VM that has not reported before were never received.
	l.granted = l.granted || r.Granted && !known
	settleTime := l.settleTime
	if l.granted {
		settleTime = max(settleTime, grantedSettleTime)
	}
	restarted := known && last.incarnation != r.Incarnation
	l.reports = l.reports.With(vm, lastReport{incarnation: r.Incarnation, number: r.Number})
	var grants []buckthorndyke.AllotmentGrant
	named := make(map[buckthorndyke.CallerID]bool, len(r.Allotments))
	for _, u := range r.Allotments[:min(len(r.Allotments), maxCallers)] {
		caller, ok := l.callers.Get(u.Caller)
		if !ok || caller.Unlimited() || named[u.Caller] {
			continue
		}
		named[u.Caller] = true
		a, ok := l.accounts.Get(u.Caller)
		if !ok {
			a = newAccount(termsOf(caller.Allotment, l.bounds), l.since)
		}
		// The report may be the first one of a VM that has a share.
		a.claimed = a.claimed || u.Share > 0
		a = a.swept(now, settleTime)
		if restarted {
			a = a.without(vm)
		}
		var grant buckthorndyke.AllotmentGrant
		a, grant = a.withUse(vm, u, now)
		l.accounts = l.accounts.With(u.Caller, a)
		grants = append(grants, grant)
	}
	return l.withUnnamed(vm, named, settleTime, grants, now)
}

// withUnnamed returns the ledger after a report that does not name some callers, and the
// grants with those that make the VM a witness of their allotments.
func (l Ledger) withUnnamed(
	vm buckthorndyke.VMID, named map[buckthorndyke.CallerID]bool, settleTime buckthorndyke.Millis,
	grants []buckthorndyke.AllotmentGrant, now buckthorndyke.Millis,
) (Ledger, []buckthorndyke.AllotmentGrant) {
	for id, a := range l.accounts.All() {
		if named[id] {
			continue
		}
		changed := a.holders.Has(vm)
		if changed {
			// The VM holds nothing of what it does not report.
			a = a.swept(now, settleTime).without(vm)
		}
		if a.holders.Len() < witnesses && a.pool >= witnessShare && len(grants) < maxCallers {
			var grant buckthorndyke.AllotmentGrant
			a, grant = a.swept(now, settleTime).withUse(vm, buckthorndyke.AllotmentUse{Caller: id}, now)
			grants = append(grants, grant)
			changed = true
		}
		if changed {
			l.accounts = l.accounts.With(id, a)
		}
	}
	return l, grants
}
