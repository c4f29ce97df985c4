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
type ConnectSiblings struct {
	client *http.Client
	clock  buckthorndyke.Clock
}

// NewConnectSiblings returns siblings that are called with the fleet's key.
func NewConnectSiblings(key string, clock buckthorndyke.Clock) *ConnectSiblings {
	return &ConnectSiblings{client: peerClient(key), clock: clock}
}

// DirectorySnapshot implements buckthorndyke.DirectoryPeers.
func (s *ConnectSiblings) DirectorySnapshot(ctx context.Context, address string) (buckthorndyke.DirectorySnapshot, error) {
	client := wireconnect.NewSiblingServiceClient(s.client, "http://"+address)
	out, err := client.Tell(ctx, &wire.TellRequest{})
	if err != nil {
		return buckthorndyke.DirectorySnapshot{}, errors.Wrap(err, "ask another VM what it knows")
	}
	return translator.KnowledgeFromWire(out, s.clock.Now()), nil
}
