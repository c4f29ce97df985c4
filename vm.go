package buckthorndyke

import "context"

// Roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleRunner  Role = "runner"
	RoleService Role = "service"
)

// Role says what runs on a VM.
type Role string

// VM is one entry of the platform's VM list.
type VM struct {
	// Address is the IP address and port at which the VM serves.
	Address string
	Domain  DomainID
	ID      VMID
	// Leaving is set once the platform has announced that it will reclaim the VM.
	Leaving bool
	Role    Role
	// Service is the plain service that runs on the VM if its role is RoleService.
	Service ServiceID
}

// VMList is the platform's list of live and leaving VMs. It may be out of date.
type VMList interface {
	// List returns the current list.
	List(ctx context.Context) ([]VM, error)
}
