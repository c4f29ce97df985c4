package sequencer

import "github.com/buckthorndyke/buckthorndyke"

const (
	// flowWeight is the number of slots over which the interval between them is averaged.
	flowWeight = 32
	// minFlow is the number of intervals from which on their average is used.
	minFlow = 8
	// maxStall is the number of average intervals without a slot after which the average
	// says nothing of the present.
	maxStall = 16
)

// flow is the observed rate at which slots become free for a key while requests wait for it.
// The time until the first slot does not count: a model may have to be loaded first. It is
// immutable.
type flow struct {
	// interval is the average time between two slots.
	interval float64
	// last is the instant of the last slot, or 0.
	last buckthorndyke.Millis
	// n is the number of intervals that were observed.
	n int
}

// value returns the average time between two slots, or false if too few were observed or
// none for a long time.
func (f flow) value(now buckthorndyke.Millis) (float64, bool) {
	if f.n < minFlow || f.interval <= 0 || float64(now-f.last) > maxStall*max(f.interval, 1) {
		return 0, false
	}
	return f.interval, true
}

// withSlot returns the flow after a request got a slot at now.
func (f flow) withSlot(now buckthorndyke.Millis) flow {
	if f.last > 0 {
		f.n++
		f.interval += (float64(now-f.last) - f.interval) / float64(min(f.n, flowWeight))
	}
	f.last = now
	return f
}

// withRejected returns the flow after a server has turned away a request that got a slot.
func (f flow) withRejected() flow {
	if n := float64(min(f.n, flowWeight)); n > 1 {
		f.interval *= n / (n - 1)
	}
	return f
}
