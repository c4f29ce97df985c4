package buckthorndyke

import "context"

// Liveness is what one VM knows of the other members' life. It is a hint for
// takeovers; only the control stream decides.
type Liveness struct {
	// LastContact is the instant at which a peer last answered, or 0 if none has.
	LastContact Millis
	// Reclaimed is set once the VM list says that this VM itself is leaving.
	Reclaimed bool
	// Reporters lists, for each suspect, the VMs that cannot reach it.
	Reporters Table[VMID, []VMID]
	// Suspects are the members that are thought to be dead or cut off, with the
	// instant since which they are.
	Suspects Table[VMID, Millis]
	// VMs is the newest VM list, or empty if none was read yet.
	VMs Table[VMID, VM]
}

// Listed reports whether the VM list holds vm, or is not known. A VM that is
// leaving is not listed.
func (l Liveness) Listed(vm VMID) bool {
	if l.VMs.Len() == 0 {
		return true
	}
	listed, ok := l.VMs.Get(vm)
	return ok && !listed.Leaving
}

// Suspected reports whether vm is thought to be dead or cut off.
func (l Liveness) Suspected(vm VMID) bool {
	return l.Suspects.Has(vm)
}

// WithSuspect returns a copy of l in which vm is suspected since an instant.
func (l Liveness) WithSuspect(vm VMID, since Millis, reporters []VMID) Liveness {
	l.Suspects = l.Suspects.With(vm, since)
	l.Reporters = l.Reporters.With(vm, reporters)
	return l
}

// LivenessReporter publishes which members are suspected.
type LivenessReporter interface {
	// Subscribe returns a channel that always holds the newest liveness that the
	// subscriber has not received yet. The subscription ends with ctx.
	Subscribe(ctx context.Context) <-chan Liveness
}
