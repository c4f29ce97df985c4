package teller

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/spreader"
)

// routingAsked asks for a copy of the configuration.
type routingAsked struct {
	query buckthorndyke.RoutingQuery
	reply mailer.Reply[buckthorndyke.RoutingCopy]
}

// routingCopies is what the task needs to answer questions for copies of the configuration.
// Only its goroutine accesses it.
type routingCopies struct {
	// encoded is the current configuration, or empty until the first question for it.
	encoded []byte
	encoder buckthorndyke.RoutingEncoder
	// fanout holds the VMs that get copies of the version fanoutFor or of earlier ones. Each
	// version has a tree of its own: a VM that is sent on to one of the tree of an earlier
	// version may be waiting for that one.
	fanout    spreader.Fanout
	fanoutFor int64
	routing   buckthorndyke.Routing
	// wanted is the version that was last asked for and not known, wantedAt the instant at
	// which the VM was asked to get it.
	wanted   int64
	wantedAt buckthorndyke.Millis
}

// answer returns the answer to q: a copy, the address of a VM to ask instead, or neither if
// the asking VM gets its copy here, but the VM does not have the version yet.
func (c *routingCopies) answer(q buckthorndyke.RoutingQuery, now buckthorndyke.Millis) (buckthorndyke.RoutingCopy, error) {
	if q.Version > c.fanoutFor {
		c.fanout, c.fanoutFor = spreader.Fanout{}, q.Version
	}
	var ask string
	if c.fanout, ask = c.fanout.WithAsker(q.Address, q.Hops, now); ask != "" {
		return buckthorndyke.RoutingCopy{Ask: ask}, nil
	}
	if c.routing.Version == 0 || c.routing.Version < q.Version {
		return buckthorndyke.RoutingCopy{}, nil
	}
	if len(c.encoded) == 0 {
		encoded, err := c.encoder.EncodeRouting(c.routing)
		if err != nil {
			return buckthorndyke.RoutingCopy{}, err
		}
		c.encoded = encoded
	}
	return buckthorndyke.RoutingCopy{Encoded: c.encoded}, nil
}

// apply makes r the current configuration.
func (c *routingCopies) apply(r buckthorndyke.Routing) { c.routing, c.encoded = r, nil }

// wants reports whether the VM has to get the version that q asks for. A version that it
// cannot get is not tried more often than once in wantInterval, however often it is asked
// for.
func (c *routingCopies) wants(q buckthorndyke.RoutingQuery, now buckthorndyke.Millis) bool {
	if q.Version <= c.routing.Version || q.Version <= c.wanted && now < c.wantedAt+wantInterval {
		return false
	}
	c.wanted, c.wantedAt = q.Version, now
	return true
}
