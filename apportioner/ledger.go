package apportioner

import (
	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// defaultSettleTime is how long a new leader waits for reports of VMs that hold
	// shares. If none comes, the whole fleet has started again, and nobody holds any.
	defaultSettleTime = buckthorndyke.Second
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
	reports  buckthorndyke.Table[buckthorndyke.VMID, lastReport]
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
	l.since = now
	return l
}

// WithReport returns the ledger after a VM's report, and the grants of the reply. A report
// that arrives after a later one of the same process changes nothing.
func (l Ledger) WithReport(
	vm buckthorndyke.VMID, r buckthorndyke.DemandReport, now buckthorndyke.Millis,
) (Ledger, []buckthorndyke.AllotmentGrant) {
	last, known := l.reports.Get(vm)
	if known && last.incarnation == r.Incarnation && r.Number <= last.number {
		return l, nil
	}
	if !known && len(r.Allotments) == 0 {
		return l, nil
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
		a = a.swept(now, l.settleTime)
		if restarted {
			a = a.without(vm)
		}
		var grant buckthorndyke.AllotmentGrant
		a, grant = a.withUse(vm, u, now)
		l.accounts = l.accounts.With(u.Caller, a)
		grants = append(grants, grant)
	}
	for id, a := range l.accounts.All() {
		// The VM holds nothing of what it does not report.
		if !named[id] && a.holders.Has(vm) {
			l.accounts = l.accounts.With(id, a.swept(now, l.settleTime).without(vm))
		}
	}
	return l, grants
}
