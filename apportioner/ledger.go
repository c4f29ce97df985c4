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
	// maxMissedRenewals is how many records of the leader may lie between a VM's last reply and
	// a new leader's term for the VM to count as one that was in contact with the
	// predecessor. Grants are renewed three times in 1.5 s, so that it covers two lost reports
	// and the interval between them. Each record gives the lead for 1.5 s at most: the
	// predecessor cannot have taken the VM's shares back, which it does after 35 s.
	maxMissedRenewals = 10
	// UnsettledPosition is the position of a leader that does not know yet what VMs hold: to
	// have been in contact with it says nothing of the shares of others. It is not 0, because
	// leaders of the version before tell none.
	UnsettledPosition = -1
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
	// informed is set once a VM has reported that was in contact with the predecessor until
	// shortly before its end, at informedAt.
	informed   bool
	informedAt buckthorndyke.Millis
	reports    buckthorndyke.Table[buckthorndyke.VMID, lastReport]
	// settleTime is how long the leader waits for VMs that hold shares.
	settleTime buckthorndyke.Millis
	// since is the beginning of the term.
	since buckthorndyke.Millis
	term  buckthorndyke.Term
}

// lastReport identifies the last report of a VM.
type lastReport struct {
	incarnation buckthorndyke.Incarnation
	number      uint64
}

// settlement says when the shares of an allotment that no VM has reported count as free.
type settlement struct {
	at buckthorndyke.Millis
	// from is the instant from which on they have filled the leader's bucket.
	from buckthorndyke.Millis
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
func (l Ledger) WithTerm(term buckthorndyke.Term, now buckthorndyke.Millis) Ledger {
	l.accounts = buckthorndyke.Table[buckthorndyke.CallerID, account]{}
	l.reports = buckthorndyke.Table[buckthorndyke.VMID, lastReport]{}
	l.granted, l.informed, l.since, l.term = false, false, now, term
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
	if r.Granted && !known && !l.informed && l.followed(r.LeaderPosition) {
		l.informed, l.informedAt = true, now
	}
	settled := l.settled()
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
		a = a.swept(now, settled)
		if restarted {
			a = a.without(vm)
		}
		var grant buckthorndyke.AllotmentGrant
		a, grant = a.withUse(vm, u, now)
		l.accounts = l.accounts.With(u.Caller, a)
		grants = append(grants, grant)
	}
	return l.withUnnamed(vm, named, settled, grants, now)
}

// PositionAt returns the position that replies tell, if the leader's record is at position:
// UnsettledPosition while the leader still waits for VMs that may hold shares.
func (l Ledger) PositionAt(position int64, now buckthorndyke.Millis) int64 {
	if now < l.settled().at {
		return UnsettledPosition
	}
	return position
}

// followed reports whether a VM was in contact with the predecessor until shortly before its
// end, by the position of the VM's last grants.
func (l Ledger) followed(position int64) bool {
	if position == 0 {
		// The VM or its leader is of a version that does not tell.
		return true
	}
	// Another leader since, or one whose grant had expired in between, may have given the VM's
	// shares to others within fewer records.
	return l.term.PreviousSince > 0 && position >= l.term.PreviousSince && l.term.FencingToken-position <= maxMissedRenewals
}

// settled returns when the shares that no VM has reported count as free.
func (l Ledger) settled() settlement {
	switch {
	case !l.granted:
		return settlement{at: l.since + l.settleTime, from: l.since}
	case l.informed:
		return settlement{at: l.informedAt + max(l.settleTime, grantedSettleTime), from: l.informedAt}
	default:
		// The VMs that have reported lost the predecessor long before its end. Others may use
		// what it has granted them since.
		return settlement{at: l.since + reclaimLimit, from: l.since + reclaimLimit}
	}
}

// withUnnamed returns the ledger after a report that does not name some callers, and the
// grants with those that make the VM a witness of their allotments.
func (l Ledger) withUnnamed(
	vm buckthorndyke.VMID, named map[buckthorndyke.CallerID]bool, settled settlement,
	grants []buckthorndyke.AllotmentGrant, now buckthorndyke.Millis,
) (Ledger, []buckthorndyke.AllotmentGrant) {
	for id, a := range l.accounts.All() {
		if named[id] {
			continue
		}
		changed := a.holders.Has(vm)
		if changed {
			// The VM holds nothing of what it does not report.
			a = a.swept(now, settled).without(vm)
		}
		if a.holders.Len() < witnesses && a.pool >= witnessShare && len(grants) < maxCallers {
			var grant buckthorndyke.AllotmentGrant
			a, grant = a.swept(now, settled).withUse(vm, buckthorndyke.AllotmentUse{Caller: id}, now)
			grants = append(grants, grant)
			changed = true
		}
		if changed {
			l.accounts = l.accounts.With(id, a)
		}
	}
	return l, grants
}
