package teller

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/spreader"
)

// copyState is what the task needs to answer questions for copies of the list. Only its
// goroutine accesses it.
type copyState struct {
	fanout spreader.Fanout
	list   buckthorndyke.Backends
	// refreshedAt is the instant of the last request for a newer list.
	refreshedAt buckthorndyke.Millis
	versionTag  uint64
}

// answer returns the answer to q: that the asking VM has the newest version, a copy, or
// the address of a VM to ask instead. It has neither if the asking VM gets its copy here,
// but the list is not new enough yet.
func (c *copyState) answer(q buckthorndyke.ListQuery, now buckthorndyke.Millis) buckthorndyke.ListCopy {
	age := now - c.list.At
	known := c.list.At > 0
	isNew := known && age <= q.MaxAge
	switch {
	case isNew && q.VersionTag == c.versionTag:
		return buckthorndyke.ListCopy{Age: age, VersionTag: c.versionTag}
	case known && !isNew && c.list.Servers.Len() <= spreader.LargeList:
		return buckthorndyke.ListCopy{ReadDirectory: true}
	}
	var ask string
	if c.fanout, ask = c.fanout.WithAsker(q.Address, q.Hops, now); ask != "" {
		return buckthorndyke.ListCopy{Ask: ask}
	}
	if !isNew {
		return buckthorndyke.ListCopy{}
	}
	return buckthorndyke.ListCopy{Age: age, List: c.list, VersionTag: c.versionTag}
}
