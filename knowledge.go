package buckthorndyke

import "context"

// DirectorySnapshot is what an entry VM knows of the platform's records.
type DirectorySnapshot struct {
	// Age is the time since the list of servers was read.
	Age     Millis
	List    Backends
	Routing Routing
}

// DirectoryPeers reaches other entry VMs, whatever they do.
type DirectoryPeers interface {
	// DirectorySnapshot asks the VM at address what it knows. It fails if that is nothing.
	DirectorySnapshot(ctx context.Context, address string) (DirectorySnapshot, error)
}
