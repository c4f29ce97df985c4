package buckthorndyke

import "context"

// DirectorySnapshot is an entry VM's copy of the platform's Directory.
type DirectorySnapshot struct {
	// Age is the time since List was read.
	Age     Millis
	List    Backends
	Routing Routing
}

// ListQuery asks another VM for its copy of the list of servers.
type ListQuery struct {
	// Address is the peer address of the VM that asks.
	Address string
	// Hops is the number of VMs that have sent the asking VM on to another.
	Hops int
	// MaxAge is the age up to which a copy is new enough.
	MaxAge Millis
	// VersionTag is the version of the list that the VM has, or 0 if it has none.
	VersionTag uint64
}

// ListCopy is a VM's copy of the list of servers.
type ListCopy struct {
	// Age is the time since the version of the list was confirmed.
	Age Millis
	// Ask is the address of the VM to ask instead, or empty.
	Ask string
	// List has no servers if the asking VM has the same version.
	List Backends
	// ReadDirectory is set if the asking VM should read the directory itself.
	ReadDirectory bool
	// VersionTag is the version of the list, or 0 if the VM has no copy that is new
	// enough yet.
	VersionTag uint64
}

// ListPeers asks other entry VMs for their copies of the list of servers.
type ListPeers interface {
	// ListCopy asks the VM at address.
	ListCopy(ctx context.Context, address string, q ListQuery) (ListCopy, error)
}

// ListSource is a source of the list of servers beside the platform's Directory.
type ListSource interface {
	// Backends returns the list as of at most maxAge ago. It returns known, with a newer
	// instant, if that is the newest version. An error means that the directory has to be
	// read.
	Backends(ctx context.Context, known Backends, maxAge Millis) (Backends, error)
}

// DirectoryPeers asks other entry VMs for their copies of the directory.
type DirectoryPeers interface {
	// DirectorySnapshot returns the copy held by the VM at address. It fails if that
	// VM has not read the directory yet.
	DirectorySnapshot(ctx context.Context, address string) (DirectorySnapshot, error)
}
