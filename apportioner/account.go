package apportioner

import (
	"math"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// rateTimeConstant is the time constant of the average of a VM's demand.
	rateTimeConstant = 5 * buckthorndyke.Second
	// sizeWeight is the weight of the newest demand in the average demand of a report.
	sizeWeight = 0.3
	// horizon is how much of a VM's demand is granted ahead: more than the time between
	// two reports.
	horizon = 2 * buckthorndyke.Second
	// sizeFactor is how often a VM's average demand of a report is granted ahead, so that a VM
	// with one request in many seconds has room for it.
	sizeFactor = 1.5
	// aheadPart is the part of the room that is granted ahead at most. The rest stays in
	// the bucket for the VMs that ask.
	aheadPart = 0.65
	// reservePart is the part of the room below which the bucket is kept for requests
	// that wait.
	reservePart = 0.15
	// takeBackFactor is how often a VM holds its target before the leader takes the rest
	// back.
	takeBackFactor = 1.5
	// equalPart is the part of an allotment that is divided equally among the VMs with
	// demand. The rest is divided by their demand.
	equalPart = 0.5
	// shareStep is the smallest change of a share, relative to it and absolute.
	shareStep = 0.1
	// witnesses is the number of VMs that have a share of at least witnessShare, whether
	// they have demand or not. By their reports a new leader knows that others may have
	// shares, also if it does not reach these.
	witnesses     = 8
	witnessShare  = 0.01
	leastShare    = 0.001
	maxSizePart   = 0.125
	leastTopUp    = 0.05
	unknownShares = 1.0
	// maxUnknown is the part of an allotment held by VMs that have not reported to a new
	// leader above which the leader does not tell when there is room: requests wait for the
	// other VMs' reports instead of being refused.
	maxUnknown = 0.25
)

// account is the leader's record of one caller's allotment. It is immutable.
//
// What VMs hold, what the leader owes for the time since their last reports, and what is in
// the bucket never exceed the room together, so that the requests in any window are at most
// the room, what the window fills, and the debt.
type account struct {
	// bucket is what can be granted. It is negative after a request that was larger than
	// what was left.
	bucket float64
	// claimed is set once a VM has reported a share.
	claimed bool
	holders buckthorndyke.Table[buckthorndyke.VMID, holder]
	// pool is the share that no VM has. It was last counted at poolAt.
	pool   float64
	poolAt buckthorndyke.Millis
	// since is the beginning of the leader's term.
	since   buckthorndyke.Millis
	sums    sums
	sweptAt buckthorndyke.Millis
	terms   terms
	// unknown is the share that VMs may have that have not reported.
	unknown float64
}

// holder is what a VM holds, by its last report and the reply to it.
type holder struct {
	asked float64
	at    buckthorndyke.Millis
	// demandAt is the instant of the last report with demand.
	demandAt buckthorndyke.Millis
	filled   float64
	// limit and share are the larger of what the VM has reported and what it was told:
	// the reply may have been lost.
	limit, share float64
	// rate is the sum of the demand per millisecond, weighted by age, and weight that of
	// the weights.
	rate, weight float64
	// silent is set if the VM no longer reports.
	silent bool
	// size is the average demand of a report with demand.
	size  float64
	spent float64
	// steady is the part of want that follows from the rate, 0 without recent demand.
	steady, want float64
}

// sums are sums over the holders. Those of silent ones are kept apart.
type sums struct {
	// held is what the VMs hold, shareTime the sum of the shares times the instants of
	// the last reports.
	held, share, shareTime float64
	// silentHeld and silentShare cover the VMs that no longer report.
	silentHeld, silentShare float64
	want                    float64
	// active is the number of VMs with demand, size the sum of their average demands.
	active, size float64
}

func newAccount(t terms, since buckthorndyke.Millis) account {
	return account{poolAt: since, since: since, terms: t, unknown: unknownShares}
}

// swept returns the account at now: the pool has filled the bucket, VMs that no longer
// report count as silent, and those whose shares have expired are removed.
func (a account) swept(now buckthorndyke.Millis, s settlement) account {
	a = a.filled(now)
	switch {
	case a.unknown < 0, a.claimed && now > a.since+reclaimLimit:
		a.pool += a.unknown
		a.unknown = 0
	case a.unknown > 0 && !a.claimed && now >= s.at:
		a.poolAt = s.from
		a.pool += a.unknown
		a.unknown = 0
		a = a.filled(now)
	}
	return a.sweptHolders(now)
}

func (a account) sweptHolders(now buckthorndyke.Millis) account {
	if now < a.sweptAt+sweepInterval {
		return a
	}
	a.sweptAt = now
	a.sums = sums{}
	for vm, h := range a.holders.All() {
		if now > h.at+reclaimLimit {
			a.pool += h.share
			a.holders = a.holders.Without(vm)
			continue
		}
		if silent := now > h.at+contactLimit; silent != h.silent {
			h.silent = silent
			a.holders = a.holders.With(vm, h)
		}
		a.sums = a.sums.with(h, a.terms, 1)
	}
	return a
}

// without returns the account, swept before, without a VM whose process has ended or that
// holds nothing.
func (a account) without(vm buckthorndyke.VMID) account {
	h, ok := a.holders.Get(vm)
	if !ok {
		return a
	}
	a.sums = a.sums.with(h, a.terms, -1)
	a.pool += h.share
	a.holders = a.holders.Without(vm)
	return a
}

// filled returns the account with what the pool has filled into the bucket until now.
func (a account) filled(now buckthorndyke.Millis) account {
	a.bucket += a.pool * a.terms.perMilli * float64(now-a.poolAt)
	a.poolAt = now
	return a.bounded(now)
}

// bounded returns the account with a bucket that holds no more than the room that VMs, with
// or without contact, leave.
func (a account) bounded(now buckthorndyke.Millis) account {
	owed := a.terms.perMilli * (a.sums.share*float64(now) - a.sums.shareTime)
	left := a.terms.room*(1-max(a.unknown, 0)*a.unknownWeight()) - a.sums.held - a.sums.silentHeld - owed
	a.bucket = max(min(a.bucket, left), -a.terms.debt)
	return a
}

// unknownWeight returns 1 if VMs that have not reported may hold shares. Until a VM has
// claimed one, the fleet may as well have started again as a whole.
func (a account) unknownWeight() float64 {
	if a.claimed {
		return 1
	}
	return 0
}

// withUse returns the account, swept before, after a VM's report, and the grant of the
// reply.
func (a account) withUse(
	vm buckthorndyke.VMID, u buckthorndyke.AllotmentUse, now buckthorndyke.Millis,
) (account, buckthorndyke.AllotmentGrant) {
	h, known := a.holders.Get(vm)
	if known {
		a.sums = a.sums.with(h, a.terms, -1)
		if now <= h.at+contactLimit {
			// What the VM has filled in itself is not filled in again.
			a.bucket += max(h.share*a.terms.perMilli*float64(now-h.at)-(u.Filled-h.filled), 0)
		}
		a.pool += h.share - u.Share
	} else {
		a.unknown -= u.Share
	}
	a.claimed = a.claimed || u.Share > 0
	h = h.with(u, known, a.terms, now)
	a.sums = a.sums.with(h, a.terms, 1)
	a = a.bounded(now)

	a.sums = a.sums.with(h, a.terms, -1)
	grant := buckthorndyke.AllotmentGrant{Caller: u.Caller}
	a, h, grant.Share = a.shared(h)
	a, h, grant.Limit, grant.RoomIn = a.granted(h, u.Waiting)
	a.sums = a.sums.with(h, a.terms, 1)
	a.holders = a.holders.With(vm, h)
	return a, grant
}

// shared returns the account and h after a change of h's share, and the share that the VM
// is told. A share that is lowered stays with the VM until it reports so.
func (a account) shared(h holder) (account, holder, float64) {
	desired := 0.0
	if h.want > 0 {
		// The demand of VMs with few requests is not known well.
		part := equalPart/(a.sums.active+1) + (1-equalPart)*a.wantOf(h)/(a.sums.want+h.want)
		// Nothing is left while all shares may be with VMs that have not reported.
		desired = part * max(1-max(a.unknown, 0)-a.sums.silentShare-witnesses*witnessShare, 0)
	}
	if a.holders.Len() <= witnesses {
		desired = max(desired, witnessShare)
	}
	switch {
	case desired < h.share-shareStep*h.share-leastShare, desired == 0:
		return a, h, max(desired, 0)
	case desired > h.share+shareStep*h.share+leastShare || h.share == 0:
		// The pool may be in debt after VMs have reported more shares than there are.
		raise := min(desired-h.share, max(a.pool, 0))
		a.pool -= raise
		h.share += raise
	}
	return a, h, h.share
}

// granted returns the account and h after a grant, the limit that the VM is told, and the
// time until there is room for what the VM still waits for.
func (a account) granted(h holder, waiting float64) (account, holder, float64, buckthorndyke.Millis) {
	var given float64
	switch {
	case a.bucket <= 0:
	case waiting <= a.bucket+a.terms.debt:
		given = waiting
	default:
		given = a.bucket
	}
	target := a.target(h)
	held := h.limit - h.spent
	ahead := min(target-held-given, a.bucket-given-reservePart*a.terms.room)
	if ahead > leastTopUp*target {
		given += ahead
	}
	a.bucket -= given
	told := h.limit + given
	if waiting == 0 && held > takeBackFactor*target {
		told = h.spent + target
	}
	h.limit = max(h.limit, told)
	var roomIn buckthorndyke.Millis
	if missing := max(waiting-given, 0) - a.bucket; missing > 0 && (waiting > given || a.bucket <= 0) {
		roomIn = a.roomIn(h, missing)
	}
	return a, h, told, roomIn
}

// roomIn returns the time until the bucket has filled by missing, or 0 if it is not known.
func (a account) roomIn(h holder, missing float64) buckthorndyke.Millis {
	perMilli := (a.sums.share + h.share + a.pool) * a.terms.perMilli
	if perMilli <= 0 || a.unknown > 0 && !a.claimed || a.unknown > maxUnknown {
		return 0
	}
	return max(buckthorndyke.Millis(math.Ceil(missing/perMilli)), 1)
}

// target returns how much h should hold.
func (a account) target(h holder) float64 {
	ahead := aheadPart * a.terms.room * (1 - max(a.unknown, 0)*a.unknownWeight())
	return a.wantOf(h) * min(1, ahead/max(a.sums.want+h.want, 1))
}

// wantOf returns what h needs granted ahead. The last requests of a VM that has few say
// nothing of its next one, so that all VMs get room for the fleet's average.
func (a account) wantOf(h holder) float64 {
	if h.want == 0 {
		return 0
	}
	return h.steady + sizeFactor*(a.sums.size+h.size)/(a.sums.active+1)
}

// with returns the holder after a report. known is set if it has reported before.
func (h holder) with(u buckthorndyke.AllotmentUse, known bool, t terms, now buckthorndyke.Millis) holder {
	demand := 0.0
	elapsed := float64(max(now-h.at, 1))
	if known {
		demand = max(u.Asked-h.asked, 0)
		decay := math.Exp(-elapsed / float64(rateTimeConstant))
		h.rate = decay*h.rate + (1-decay)*demand/elapsed
		h.weight = decay*h.weight + 1 - decay
	}
	if demand > 0 || u.Waiting > 0 || !known && u.Limit > u.Spent {
		h.demandAt = now
	}
	switch newest := max(demand, u.Waiting); {
	case h.size == 0 && newest == 0:
		// The VM holds what a former leader has granted for its demand.
		h.size = (u.Limit - u.Spent) / sizeFactor
	case h.size == 0:
		h.size = newest
	case newest > 0:
		h.size += sizeWeight * (newest - h.size)
	}
	h.size = min(max(h.size, 0), maxSizePart*t.room)
	h.at, h.asked, h.filled, h.limit, h.share, h.spent, h.silent = now, u.Asked, u.Filled, u.Limit, u.Share, u.Spent, false
	h.steady, h.want = 0, 0
	if now <= h.demandAt+recentDemand {
		if h.weight > 0 {
			h.steady = h.rate / h.weight * float64(horizon)
		}
		h.want = h.steady + sizeFactor*h.size
	}
	return h
}

// with returns the sums with h added, or subtracted if sign is -1.
func (s sums) with(h holder, t terms, sign float64) sums {
	held := max(h.limit-h.spent, 0)
	if h.silent {
		s.silentHeld += sign * max(held, h.share*t.room)
		s.silentShare += sign * h.share
		return s
	}
	s.held += sign * held
	s.share += sign * h.share
	s.shareTime += sign * h.share * float64(h.at)
	s.want += sign * h.want
	if h.want > 0 {
		s.active += sign
		s.size += sign * h.size
	}
	return s
}
