package buckthorndyke

import "context"

// Liveness is one VM's view of which members are alive. It only suggests takeovers;
// the control stream decides them.
type Liveness struct {
	// LastContact is the instant at which any peer last replied, or 0 if none has.
	LastContact Millis
	// Reclaimed is set once the VM list marks this VM itself as leaving.
	Reclaimed bool
	// Reporters lists, for each suspect, the VMs that cannot reach it.
	Reporters Table[VMID, []VMID]
	// Suspects are the members that are presumed dead or unreachable, each with the
	// instant since when.
	Suspects Table[VMID, Millis]
	// VMs is the newest VM list, or empty if none has been read yet.
	VMs Table[VMID, VM]
}

// Listed reports whether the VM list contains vm and does not mark it as leaving.
// It returns true if no VM list is known.
func (l Liveness) Listed(vm VMID) bool {
	if l.VMs.Len() == 0 {
		return true
	}
	listed, ok := l.VMs.Get(vm)
	return ok && !listed.Leaving
}

// Suspected reports whether vm is presumed dead or unreachable.
func (l Liveness) Suspected(vm VMID) bool {
	return l.Suspects.Has(vm)
}

// WithSuspect returns a copy of l in which vm is a suspect since the given
// instant.
func (l Liveness) WithSuspect(vm VMID, since Millis, reporters []VMID) Liveness {
	l.Suspects = l.Suspects.With(vm, since)
	l.Reporters = l.Reporters.With(vm, reporters)
	return l
}

// LivenessReporter publishes which members are suspected.
type LivenessReporter interface {
	// Subscribe returns a channel that holds the newest Liveness until the subscriber
	// receives it. Older values are dropped. The subscription ends with ctx.
	Subscribe(ctx context.Context) <-chan Liveness
}
