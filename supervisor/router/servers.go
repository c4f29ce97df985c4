package router

import (
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
		vm buckthorndyke.VMID
	}

	// serverMessage asks for a backend server and counts a call of it.
	serverMessage struct {
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
	left, _ := k.outstanding.Get(m.vm)
	if left <= 1 {
		k.outstanding = k.outstanding.Without(m.vm)
		return k
	}
	k.outstanding = k.outstanding.With(m.vm, left-1)
	return k
}

func (m serverMessage) apply(k knowledge) knowledge {
	vm, found := k.server(m.service, m.tried)
	m.reply.Answer(serverReply{found: found, vm: vm})
	if found {
		calls, _ := k.outstanding.Get(vm.ID)
		k.outstanding = k.outstanding.With(vm.ID, calls+1)
		k.turn++
	}
	return k
}

// server returns the backend server of service with the fewest calls under way.
// Equals take turns. A leaving server gets no new call.
func (k knowledge) server(service buckthorndyke.ServiceID, tried []buckthorndyke.VMID) (buckthorndyke.VM, bool) {
	var best []buckthorndyke.VM
	fewest := 0
	for _, vm := range k.vms {
		if vm.Role != buckthorndyke.RoleService || vm.Service != service || vm.Leaving || slices.Contains(tried, vm.ID) {
			continue
		}
		calls, _ := k.outstanding.Get(vm.ID)
		if len(best) == 0 || calls < fewest {
			best, fewest = best[:0], calls
		}
		if calls == fewest {
			best = append(best, vm)
		}
	}
	if len(best) == 0 {
		return buckthorndyke.VM{}, false
	}
	return best[k.turn%len(best)], true
}
