// Package spreader decides from whom the VMs of a large fleet get their copies of a record
// that is too large for all of them to read it from the platform at once.
package spreader

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// fanoutLimit is the number of VMs that one VM gives copies to at a time.
	fanoutLimit = 4
	// childTTL is how long a VM counts as one of those after it has last asked.
	childTTL = 3 * buckthorndyke.Second
	// MaxHops is the number of VMs that may send a VM on to another. With fanoutLimit
	// they reach more VMs than a platform has.
	MaxHops = 10
)

// LargeList is the number of servers above which VMs get the list of servers from each
// other. A smaller one takes the platform a single page.
const LargeList = 256

const (
	// minCopyingVMs and minCopiedBytes are the number of VMs and the size of a configuration
	// from which on VMs get it from each other. With 128 VMs, the reads of a record of 350 kB
	// take a platform that sends 80 MB/s a quarter of the 3 s within which a change has to be
	// in force.
	minCopyingVMs  = 128
	minCopiedBytes = 64 << 10
)

// CopiesRouting reports whether the VMs of a fleet get a configuration whose record has the
// given size from each other.
func CopiesRouting(vms, bytes int) bool { return vms >= minCopyingVMs && bytes >= minCopiedBytes }

// Fanout holds the VMs that one VM gives copies to. The others are sent on to these, so
// that the copies spread as on a tree, whatever the number of VMs. It is immutable.
type Fanout struct {
	children []child
	// next is the number of VMs that were sent on.
	next int
}

// child is a VM that gets copies from this one.
type child struct {
	address string
	askedAt buckthorndyke.Millis
}

// Children returns the number of VMs that get copies.
func (f Fanout) Children() int { return len(f.children) }

// WithAsker returns the fanout after the VM at address has asked at now, and the address
// of the VM to ask instead, or an empty one if it gets its copy here. A VM that was sent
// on often enough gets it in any case.
func (f Fanout) WithAsker(address string, hops int, now buckthorndyke.Millis) (Fanout, string) {
	known := slices.ContainsFunc(f.children, func(c child) bool { return c.address == address })
	f.children = slices.DeleteFunc(slices.Clone(f.children), func(c child) bool {
		return c.address == address || now >= c.askedAt+childTTL
	})
	if n := len(f.children); !known && n >= fanoutLimit && hops < MaxHops {
		f.next++
		return f, f.children[f.next%n].address
	}
	f.children = append(f.children, child{address: address, askedAt: now})
	return f, ""
}
