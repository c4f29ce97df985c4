package connector

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/translator"
	"github.com/buckthorndyke/buckthorndyke/wire"
	"github.com/buckthorndyke/buckthorndyke/wire/wireconnect"
)

// ConnectSiblings reaches other entry VMs by the connect protocol. It implements
// buckthorndyke.DirectoryPeers.
type ConnectDirectoryPeers struct {
	client *http.Client
	clock  buckthorndyke.Clock
}

// NewConnectSiblings returns siblings that are called with the fleet's key.
func NewConnectDirectoryPeers(key string, clock buckthorndyke.Clock) *ConnectDirectoryPeers {
	return &ConnectDirectoryPeers{client: peerClient(key), clock: clock}
}

// DirectorySnapshot implements buckthorndyke.DirectoryPeers.
func (s *ConnectDirectoryPeers) DirectorySnapshot(ctx context.Context, address string) (buckthorndyke.DirectorySnapshot, error) {
	client := wireconnect.NewSiblingServiceClient(s.client, "http://"+address)
	out, err := client.Tell(ctx, &wire.TellRequest{})
	if err != nil {
		return buckthorndyke.DirectorySnapshot{}, errors.Wrap(err, "ask another VM what it knows")
	}
	return translator.DirectorySnapshotFromWire(out, s.clock.Now()), nil
}
