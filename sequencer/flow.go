package sequencer

import "github.com/buckthorndyke/buckthorndyke"

const (
	// minSlots and minSpan are the number of slots and the time over which an interval
	// between slots is measured at least. Requests of a batch end together, so that the
	// intervals between single slots say little.
	minSlots = 8
	minSpan  = 250 * buckthorndyke.Millisecond
	// maxStall is the number of measurements without a slot after which the interval says
	// nothing of the present.
	maxStall = 3
)

// flow is the observed rate at which slots become free for a key while requests wait for it.
// The time until the first slot does not count: a model may have to be loaded first. It is
// immutable.
type flow struct {
	// interval is the average time between two slots, or 0 if it is not known.
	interval float64
	// last is the instant of the last slot.
	last buckthorndyke.Millis
	// level is the priority of the least urgent requests whose slots were measured. More
	// urgent ones may get slots that requests for other keys got.
	level int
	// measuring is the level of the present measurement.
	measuring int
	// slots counts the slots since the measurement began at start.
	slots int
	start buckthorndyke.Millis
}

// value returns the average time between two slots for requests with a priority, or false if
// too few were observed or none for a long time.
func (f flow) value(now buckthorndyke.Millis, priority int) (float64, bool) {
	if f.interval <= 0 || priority < f.level || float64(now-f.last) > maxStall*max(f.interval*minSlots, float64(minSpan)) {
		return 0, false
	}
	return f.interval, true
}

// withSlot returns the flow after a request with a priority got a slot at now. The first slot
// begins the measurement. Each measurement counts as much as all those before at its level.
func (f flow) withSlot(now buckthorndyke.Millis, priority int) flow {
	f.last, f.measuring = now, max(f.measuring, priority)
	if f.start == 0 {
		f.start = now
		return f
	}
	f.slots++
	if f.slots < minSlots || now < f.start+minSpan {
		return f
	}
	measured := float64(now-f.start) / float64(f.slots)
	if f.interval > 0 && f.level == f.measuring {
		measured = (measured + f.interval) / 2
	}
	return flow{interval: measured, last: now, level: f.measuring, start: now}
}

// withRejected returns the flow after a server has turned away a request that got a slot.
func (f flow) withRejected() flow {
	f.slots = max(f.slots-1, 0)
	return f
}
