package router

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// errNoServer means that the VM list has no backend server left to try.
var errNoServer = errors.New("no backend server of the service is left to try")

type (
	// endedMessage reports that a call of a backend server has ended.
	endedMessage struct {
		at     buckthorndyke.Millis
		failed bool
		vm     buckthorndyke.VMID
	}

	// serverMessage asks for a backend server and counts a call of it.
	serverMessage struct {
		now     buckthorndyke.Millis
		reply   mailer.Reply[serverReply]
		service buckthorndyke.ServiceID
		tried   []buckthorndyke.VMID
	}

	// serverReply is the backend server to send to.
	serverReply struct {
		found bool
		vm    buckthorndyke.VM
	}
)

func (m endedMessage) apply(k knowledge) knowledge {
	if m.failed {
		k.failures = k.failures.With(m.vm, m.at)
	} else {
		k.failures = k.failures.Without(m.vm)
	}
	left, _ := k.outstanding.Get(m.vm)
	if left <= 1 {
		k.outstanding = k.outstanding.Without(m.vm)
		return k
	}
	k.outstanding = k.outstanding.With(m.vm, left-1)
	return k
}

func (m serverMessage) apply(k knowledge) knowledge {
	vm, found := k.server(m)
	m.reply.Answer(serverReply{found: found, vm: vm})
	if found {
		calls, _ := k.outstanding.Get(vm.ID)
		k.outstanding = k.outstanding.With(vm.ID, calls+1)
		k.turn++
	}
	return k
}

// server returns the backend server of a service with the fewest calls under way.
// Equals take turns. A leaving server gets no new call, and one that failed lately
// only if there is no other.
func (k knowledge) server(m serverMessage) (buckthorndyke.VM, bool) {
	var best []buckthorndyke.VM
	lightest := serverLoad{}
	for _, vm := range k.vms {
		if vm.Role != buckthorndyke.RoleService || vm.Service != m.service || vm.Leaving || slices.Contains(m.tried, vm.ID) {
			continue
		}
		load := k.serverLoad(vm.ID, m.now)
		if len(best) == 0 || load.compare(lightest) < 0 {
			best, lightest = best[:0], load
		}
		if load == lightest {
			best = append(best, vm)
		}
	}
	if len(best) == 0 {
		return buckthorndyke.VM{}, false
	}
	return best[k.turn%len(best)], true
}

// serverLoad is what speaks against a backend server.
type serverLoad struct {
	calls  int
	failed bool
}

// compare returns whether l speaks less (-1), as much or more (1) against its
// server than other.
func (l serverLoad) compare(other serverLoad) int {
	if l.failed != other.failed {
		if l.failed {
			return 1
		}
		return -1
	}
	return cmp.Compare(l.calls, other.calls)
}

// serverLoad returns what speaks against the backend server on vm.
func (k knowledge) serverLoad(vm buckthorndyke.VMID, now buckthorndyke.Millis) serverLoad {
	calls, _ := k.outstanding.Get(vm)
	at, failed := k.failures.Get(vm)
	return serverLoad{calls: calls, failed: failed && now-at < troubleSpan}
}
