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

func (m endedMessage) apply(st routerState) routerState {
	if m.failed {
		st.serverFaults = st.serverFaults.With(m.vm, m.at)
	} else {
		st.serverFaults = st.serverFaults.Without(m.vm)
	}
	calls, _ := st.outstanding.Get(m.vm)
	if calls <= 1 {
		st.outstanding = st.outstanding.Without(m.vm)
		return st
	}
	st.outstanding = st.outstanding.With(m.vm, calls-1)
	return st
}

func (m serverMessage) apply(st routerState) routerState {
	vm, found := st.server(m)
	m.reply.Answer(serverReply{found: found, vm: vm})
	if found {
		calls, _ := st.outstanding.Get(vm.ID)
		st.outstanding = st.outstanding.With(vm.ID, calls+1)
		st.roundRobin++
	}
	return st
}

// server returns the backend server of a service with the fewest calls under way.
// Equals take turns. A leaving server gets no new call, and one that failed lately
// only if there is no other.
func (st routerState) server(m serverMessage) (buckthorndyke.VM, bool) {
	var best []buckthorndyke.VM
	lightest := serverLoad{}
	for _, vm := range st.vms {
		if vm.Role != buckthorndyke.RoleService || vm.Service != m.service || vm.Leaving || slices.Contains(m.tried, vm.ID) {
			continue
		}
		load := st.serverLoad(vm.ID, m.now)
		if len(best) == 0 || load.compareTo(lightest) < 0 {
			best, lightest = best[:0], load
		}
		if load == lightest {
			best = append(best, vm)
		}
	}
	if len(best) == 0 {
		return buckthorndyke.VM{}, false
	}
	return best[st.roundRobin%len(best)], true
}

// serverLoad is what speaks against a backend server.
type serverLoad struct {
	calls  int
	failed bool
}

// compare returns whether l speaks less (-1), as much or more (1) against its
// server than other.
func (l serverLoad) compareTo(other serverLoad) int {
	if l.failed != other.failed {
		if l.failed {
			return 1
		}
		return -1
	}
	return cmp.Compare(l.calls, other.calls)
}

// serverLoad returns what speaks against the backend server on vm.
func (st routerState) serverLoad(vm buckthorndyke.VMID, now buckthorndyke.Millis) serverLoad {
	calls, _ := st.outstanding.Get(vm)
	at, failed := st.serverFaults.Get(vm)
	return serverLoad{calls: calls, failed: failed && now-at < faultPenaltyTime}
}
