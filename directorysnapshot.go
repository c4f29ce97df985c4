package buckthorndyke

import "context"

// DirectorySnapshot is an entry VM's copy of the platform's Directory.
type DirectorySnapshot struct {
	// Age is the time since List was read.
	Age     Millis
	List    Backends
	Routing Routing
}

// DirectoryPeers asks other entry VMs for their copies of the directory.
type DirectoryPeers interface {
	// DirectorySnapshot returns the copy held by the VM at address. It fails if that
	// VM has not read the directory yet.
	DirectorySnapshot(ctx context.Context, address string) (DirectorySnapshot, error)
}
