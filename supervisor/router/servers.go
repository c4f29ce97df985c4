package router

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// errNoServer means that the VM list has no usable backend server of the service, or
// that all of them have failed the call.
var errNoServer = errors.New("no backend server of the service is available")

type (
	// endedMessage reports that a call to a backend server has ended.
	endedMessage struct {
		at     buckthorndyke.Millis
		failed bool
		vm     buckthorndyke.VMID
	}

	// serverMessage asks for a backend server and counts a call to it.
	serverMessage struct {
		now     buckthorndyke.Millis
		reply   mailer.Reply[serverReply]
		service buckthorndyke.ServiceID
		tried   []buckthorndyke.VMID
	}

	// serverReply is the reply to serverMessage.
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

// server returns the backend server of the service with the fewest calls in progress,
// in rotation if several have as few. It never returns a leaving server, and returns
// one that failed recently only if there is no other.
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

// serverLoad ranks a backend server: one with the lower load is preferred.
type serverLoad struct {
	calls  int
	failed bool
}

// compareTo returns -1 if l is lower than other, 0 if they are equal, and 1 if l is
// higher. A recent failure outweighs any number of calls.
func (l serverLoad) compareTo(other serverLoad) int {
	if l.failed != other.failed {
		if l.failed {
			return 1
		}
		return -1
	}
	return cmp.Compare(l.calls, other.calls)
}

// serverLoad returns the load of the backend server on vm.
func (st routerState) serverLoad(vm buckthorndyke.VMID, now buckthorndyke.Millis) serverLoad {
	calls, _ := st.outstanding.Get(vm)
	at, failed := st.serverFaults.Get(vm)
	return serverLoad{calls: calls, failed: failed && now-at < faultPenaltyTime}
}
