package buckthorndyke

import "context"

// VMRulesVersion is the version of the rules in force on one VM.
type VMRulesVersion struct {
	// Err is set if the VM has not answered.
	Err     error
	VM      VMID
	Version Offset
}

// FleetReporter asks the live entry VMs which rules are in force on them.
type FleetReporter interface {
	// RulesVersions returns an entry for each live VM, this one included. It
	// returns once all have answered, failed, or ctx has ended.
	RulesVersions(ctx context.Context) Table[VMID, VMRulesVersion]
}
