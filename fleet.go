package buckthorndyke

import "context"

// VMRulesVersion is the version of the rules that one VM applies.
type VMRulesVersion struct {
	// Err is set if the VM did not reply.
	Err     error
	VM      VMID
	Version Offset
}

// FleetReporter asks all live entry VMs which version of the rules they apply.
type FleetReporter interface {
	// RulesVersions returns an entry for each live VM, including this one. It
	// returns when every VM has replied or failed, or when ctx ends.
	RulesVersions(ctx context.Context) Table[VMID, VMRulesVersion]
}
