package buckthorndyke

import "context"

// Knowledge is what an entry VM knows of the platform's records.
type Knowledge struct {
	// Age is the time since the list of servers was read.
	Age     Millis
	List    Backends
	Routing Routing
}

// Siblings reaches other entry VMs, whatever they do.
type Siblings interface {
	// Knowledge asks the VM at address what it knows. It fails if that is nothing.
	Knowledge(ctx context.Context, address string) (Knowledge, error)
}
