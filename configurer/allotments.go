package configurer

import (
	"math"

	"github.com/buckthorndyke/buckthorndyke"
)

// Defaults, minimums and maximums of the bounds on allotments.
const (
	defaultAllotmentWindow  = 8 * buckthorndyke.Second
	maxAllotmentWindow      = 10 * buckthorndyke.Minute
	minAllotmentWindow      = buckthorndyke.Second
	defaultAllotmentOverage = 0.1
	maxAllotmentOverage     = 10
	maxAllotmentSlack       = 1e12
)

// allotmentBounds returns the bounds in an "allotments" object.
func (o object) allotmentBounds() buckthorndyke.AllotmentBounds {
	seconds := o.decimal("window-s", float64(defaultAllotmentWindow)/float64(buckthorndyke.Second),
		float64(minAllotmentWindow)/float64(buckthorndyke.Second), float64(maxAllotmentWindow)/float64(buckthorndyke.Second))
	return buckthorndyke.AllotmentBounds{
		Overage: o.decimal("overage", defaultAllotmentOverage, 0, maxAllotmentOverage),
		Slack:   o.decimal("slack", 0, 0, maxAllotmentSlack),
		Window:  buckthorndyke.Millis(math.Floor(seconds * float64(buckthorndyke.Second))),
	}
}
