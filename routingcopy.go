package buckthorndyke

import "context"

// RoutingQuery asks another VM for its copy of the configuration.
type RoutingQuery struct {
	// Address is the peer address of the VM that asks.
	Address string
	// Hops is the number of VMs that have sent the asking VM on to another.
	Hops int
	// Version is the lowest version that the asking VM needs.
	Version int64
}

// RoutingCopy is a VM's reply to a RoutingQuery. It has neither a copy nor an address if the
// asking VM gets its copy here, but the VM does not have the version yet.
type RoutingCopy struct {
	// Ask is the address of the VM to ask instead, or empty.
	Ask string
	// Encoded is the configuration as RoutingEncoder encodes it, or empty.
	Encoded []byte
}

// RoutingPeers asks other entry VMs for their copies of the configuration.
type RoutingPeers interface {
	// RoutingCopy asks the VM at address.
	RoutingCopy(ctx context.Context, address string, q RoutingQuery) (RoutingCopy, error)
}

// RoutingEncoder encodes a configuration, with its Record, for other VMs.
type RoutingEncoder interface {
	// DecodeRouting decodes a configuration. It is marked as copied.
	DecodeRouting(data []byte) (Routing, error)
	EncodeRouting(r Routing) ([]byte, error)
}

// RoutingSkipper is a Directory that can be told of a configuration from another source.
// It must be called by the goroutine that calls Directory.Routing.
type RoutingSkipper interface {
	// SkipRouting makes the directory wait for later records than the given one.
	SkipRouting(record RoutingRecord)
}

// RoutingSource is a source of the configuration beside the platform's Directory.
type RoutingSource interface {
	// Routing returns a configuration of the version that notice tells of, or of a later
	// one. An error means that the directory has to be read.
	Routing(ctx context.Context, notice SeenVersion) (Routing, error)
}
