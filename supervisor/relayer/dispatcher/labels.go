package dispatcher

import (
	"strconv"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/sequencer"
)

const (
	// maxLabels bounds the callers that have metrics of their own.
	maxLabels = 64
	// otherCallers is the label of the callers beyond them.
	otherCallers = "other"
)

// labels are the callers that have metrics of their own.
type labels map[buckthorndyke.CallerID]bool

// ofCaller returns the label of a caller.
func (l labels) ofCaller(caller buckthorndyke.CallerID) string {
	if !l[caller] {
		if len(l) >= maxLabels {
			return otherCallers
		}
		l[caller] = true
	}
	return string(caller)
}

// ofWaiting returns the label of a waiting request: its caller, if known, and its priority.
func (l labels) ofWaiting(r sequencer.Request) string {
	priority := "priority-" + strconv.Itoa(r.Priority)
	if r.Caller == "" {
		return priority
	}
	return l.ofCaller(r.Caller) + "/" + priority
}

// noMeter discards measurements. It implements buckthorndyke.Meter.
type noMeter struct{}

// Count implements buckthorndyke.Meter.
func (noMeter) Count(buckthorndyke.Metric, int64) {}

// Observe implements buckthorndyke.Meter.
func (noMeter) Observe(buckthorndyke.Metric, buckthorndyke.Millis) {}

// Set implements buckthorndyke.Meter.
func (noMeter) Set(buckthorndyke.Metric, int64) {}
