package loader

import "github.com/buckthorndyke/buckthorndyke"

// historyLimit is the number of lists that are kept. VMs report every 0.8 s, and
// lists change a few times per second at most.
const historyLimit = 8

// taggedList is a list and its version tag.
type taggedList struct {
	list buckthorndyke.Backends
	tag  uint64
}

// history holds the latest lists of servers, the newest last. It is immutable.
type history []taggedList

// change returns the difference between the list with version tag from and the newest
// one. It returns nil if the former is no longer kept, or if the version tag of the
// newest one is not to.
func (h history) change(from, to uint64) *buckthorndyke.ListChange {
	if len(h) == 0 || from == to || h[len(h)-1].tag != to {
		return nil
	}
	for _, m := range h {
		if m.tag == from {
			c := h.newest().ChangesSince(m.list)
			return &c
		}
	}
	return nil
}

// newest returns the newest list.
func (h history) newest() buckthorndyke.Backends {
	if len(h) == 0 {
		return buckthorndyke.Backends{}
	}
	return h[len(h)-1].list
}

// withoutModels returns a list without the models on the servers, which make up most of its
// size and do not count for a difference.
func withoutModels(list buckthorndyke.Backends) buckthorndyke.Backends {
	slim := make([]buckthorndyke.Backend, 0, list.Servers.Len())
	for _, b := range list.Servers.All() {
		b.Cached, b.LoadedModels = nil, nil
		slim = append(slim, b)
	}
	list.Servers = buckthorndyke.TableOf(slim, func(b buckthorndyke.Backend) buckthorndyke.RunnerID { return b.ID })
	return list
}

// with returns a history with list added. It replaces the newest one if both have the
// same version tag.
func (h history) with(list buckthorndyke.Backends) history {
	m := taggedList{list: list, tag: list.VersionTag()}
	kept := append(history(nil), h...)
	switch last := len(kept) - 1; {
	case last < 0:
	case kept[last].tag == m.tag:
		kept = kept[:last]
	default:
		kept[last].list = withoutModels(kept[last].list)
	}
	kept = append(kept, m)
	return kept[max(len(kept)-historyLimit, 0):]
}
