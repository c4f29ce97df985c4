package translator

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// allotmentGrantsFromWire returns the grants in list.
func allotmentGrantsFromWire(list []*wire.AllotmentGrant) []buckthorndyke.AllotmentGrant {
	var out []buckthorndyke.AllotmentGrant
	for _, g := range list {
		out = append(out, buckthorndyke.AllotmentGrant{
			Caller: buckthorndyke.CallerID(g.Caller), Limit: g.Limit, RoomIn: buckthorndyke.Millis(g.RoomInMs), Share: g.Share,
		})
	}
	return out
}

// allotmentGrantsToWire returns the messages that carry list.
func allotmentGrantsToWire(list []buckthorndyke.AllotmentGrant) []*wire.AllotmentGrant {
	var out []*wire.AllotmentGrant
	for _, g := range list {
		out = append(out, &wire.AllotmentGrant{Caller: string(g.Caller), Limit: g.Limit, RoomInMs: int64(g.RoomIn), Share: g.Share})
	}
	return out
}

// allotmentUsesFromWire returns the uses in list.
func allotmentUsesFromWire(list []*wire.AllotmentUse) []buckthorndyke.AllotmentUse {
	var out []buckthorndyke.AllotmentUse
	for _, u := range list {
		out = append(out, buckthorndyke.AllotmentUse{
			Asked: u.Asked, Caller: buckthorndyke.CallerID(u.Caller), Filled: u.Filled, Limit: u.Limit, Share: u.Share,
			Spent: u.Spent, Waiting: u.Waiting,
		})
	}
	return out
}

// allotmentUsesToWire returns the messages that carry list.
func allotmentUsesToWire(list []buckthorndyke.AllotmentUse) []*wire.AllotmentUse {
	var out []*wire.AllotmentUse
	for _, u := range list {
		out = append(out, &wire.AllotmentUse{
			Asked: u.Asked, Caller: string(u.Caller), Filled: u.Filled, Limit: u.Limit, Share: u.Share, Spent: u.Spent, Waiting: u.Waiting,
		})
	}
	return out
}

// callersFromWire returns the callers in list. A key that is no digest is left out.
func callersFromWire(list []*wire.Caller, required bool) buckthorndyke.Callers {
	if !required && len(list) == 0 {
		return buckthorndyke.Callers{}
	}
	callers := make([]buckthorndyke.Caller, 0, len(list))
	for _, m := range list {
		caller := buckthorndyke.Caller{
			Allotment: buckthorndyke.Allotment{
				Burst: m.Burst, PerSecond: m.PerSecond, PlainTokens: int(m.PlainTokens), Unit: buckthorndyke.AllotmentUnit(m.Unit),
			},
			HasPriority: m.Priority != nil,
			ID:          buckthorndyke.CallerID(m.Id),
			Priority:    int(m.GetPriority()),
		}
		for _, key := range m.Keys {
			if digest := (buckthorndyke.KeyDigest{}); len(key) == len(digest) {
				caller.Keys = append(caller.Keys, buckthorndyke.KeyDigest(key))
			}
		}
		callers = append(callers, caller)
	}
	return buckthorndyke.CallersOf(callers)
}

// callersToWire returns the messages that carry c.
func callersToWire(c buckthorndyke.Callers) []*wire.Caller {
	var out []*wire.Caller
	for _, caller := range c.All() {
		m := &wire.Caller{
			Burst: caller.Burst, Id: string(caller.ID), PerSecond: caller.PerSecond, PlainTokens: int64(caller.PlainTokens),
			Unit: string(caller.Unit),
		}
		if caller.HasPriority {
			priority := int32(caller.Priority)
			m.Priority = &priority
		}
		for _, d := range caller.Keys {
			m.Keys = append(m.Keys, d[:])
		}
		out = append(out, m)
	}
	return out
}
