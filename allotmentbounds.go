package buckthorndyke

// AllotmentBounds says by how much the requests of a caller, summed over all VMs, may
// exceed its allotment. In any Window it is at most Overage times the allotment, plus
// Slack.
type AllotmentBounds struct {
	// Overage is a fraction of the allotment.
	Overage float64
	// Slack is in the unit of the allotment.
	Slack  float64
	Window Millis
}

// Headroom returns by how much the requests in a window may exceed the allotment a.
func (b AllotmentBounds) Headroom(a Allotment) float64 {
	return (a.PerSecond*float64(b.Window)/float64(Second)+a.Burst)*b.Overage + b.Slack
}
