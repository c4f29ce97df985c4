package apportioner

import "github.com/buckthorndyke/buckthorndyke"

const (
	// contactLimit is how long after the last reply, or report, a VM and the leader
	// consider each other to be in contact. Reports are at most 1.6 s apart and time out
	// after 0.7 s.
	contactLimit = 2500 * buckthorndyke.Millisecond
	// shareLimit is how long a VM may use its share after the last reply of a leader. A
	// store that is down leaves the fleet without a leader for tens of seconds.
	shareLimit = 30 * buckthorndyke.Second
	// reclaimLimit is how long after the last report of a VM, or after the beginning of
	// its own term for VMs that it has not heard of, a leader reassigns a share. The VM
	// may have got the reply later than the leader sent it, and the clocks drift.
	reclaimLimit = shareLimit + 5*buckthorndyke.Second

	// firstDepth is the part of its share of the room up to which a VM that has just lost
	// the leader fills its limit. It rises to the whole in depthTime: the leader, if there
	// is one, needs that time to leave room for the VM.
	firstDepth = 0.5
	depthTime  = 5 * buckthorndyke.Second

	// roomPart and debtPart divide what a window may exceed the allotment by. A caller's
	// requests in a window are at most what is granted, unspent and in the bucket at its
	// beginning (burst + roomPart), what the window fills, and the debt at its end
	// (debtPart). The rest covers refunds, and a fleet that seems to have restarted as a
	// whole and has not.
	roomPart = 0.70
	debtPart = 0.10
)

// terms are the amounts that follow from an allotment.
type terms struct {
	// debt is how far the leader's bucket may be below 0, so that a request larger than
	// what is left is admitted like a small one.
	debt float64
	// perMilli is the rate at which the allotment fills.
	perMilli float64
	// room is the maximum of what is granted and unspent, and what is in the bucket.
	room float64
}

// termsOf returns the terms of a.
func termsOf(a buckthorndyke.Allotment, b buckthorndyke.AllotmentBounds) terms {
	headroom := b.Headroom(a)
	return terms{
		debt:     headroom * debtPart,
		perMilli: a.PerSecond / float64(buckthorndyke.Second),
		room:     a.Burst + headroom*roomPart,
	}
}
