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

// ConnectDirectoryPeers calls other entry VMs over the Connect protocol. It
// implements buckthorndyke.DirectoryPeers, buckthorndyke.ListPeers,
// buckthorndyke.RoutingPeers and buckthorndyke.CrashPeers.
type ConnectDirectoryPeers struct {
	client *http.Client
	clock  buckthorndyke.Clock
}

// NewConnectDirectoryPeers returns a client that authenticates with key, which all
// entry VMs share.
func NewConnectDirectoryPeers(key string, clock buckthorndyke.Clock) *ConnectDirectoryPeers {
	return &ConnectDirectoryPeers{client: peerClient(key), clock: clock}
}

// DirectorySnapshot implements buckthorndyke.DirectoryPeers.
func (p *ConnectDirectoryPeers) DirectorySnapshot(ctx context.Context, address string) (buckthorndyke.DirectorySnapshot, error) {
	client := wireconnect.NewSiblingServiceClient(p.client, "http://"+address)
	out, err := client.Tell(ctx, &wire.TellRequest{})
	if err != nil {
		return buckthorndyke.DirectorySnapshot{}, errors.Wrap(err, "fetch the directory of another VM")
	}
	return translator.DirectorySnapshotFromWire(out, p.clock.Now()), nil
}

// ListCopy implements buckthorndyke.ListPeers.
func (p *ConnectDirectoryPeers) ListCopy(ctx context.Context, address string, q buckthorndyke.ListQuery) (buckthorndyke.ListCopy, error) {
	client := wireconnect.NewSiblingServiceClient(p.client, "http://"+address)
	out, err := client.TellList(ctx, translator.ListQueryToWire(q))
	if err != nil {
		return buckthorndyke.ListCopy{}, errors.Wrap(err, "fetch the list of servers of another VM")
	}
	return translator.ListCopyFromWire(out, p.clock.Now()), nil
}

// RoutingCopy implements buckthorndyke.RoutingPeers.
func (p *ConnectDirectoryPeers) RoutingCopy(
	ctx context.Context, address string, q buckthorndyke.RoutingQuery,
) (buckthorndyke.RoutingCopy, error) {
	client := wireconnect.NewSiblingServiceClient(p.client, "http://"+address)
	out, err := client.TellRouting(ctx, &wire.RoutingRequest{Address: q.Address, Hops: int32(q.Hops), Version: q.Version})
	if err != nil {
		return buckthorndyke.RoutingCopy{}, errors.Wrap(err, "fetch the configuration of another VM")
	}
	return buckthorndyke.RoutingCopy{Ask: out.Ask, Encoded: out.Record}, nil
}

// ShareCrashes implements buckthorndyke.CrashPeers.
func (p *ConnectDirectoryPeers) ShareCrashes(
	ctx context.Context, address string, e buckthorndyke.CrashEvidence,
) (buckthorndyke.CrashEvidence, error) {
	client := wireconnect.NewSiblingServiceClient(p.client, "http://"+address)
	out, err := client.ShareCrashes(ctx, translator.CrashEvidenceToWire(e))
	if err != nil {
		return buckthorndyke.CrashEvidence{}, errors.Wrap(err, "exchange evidence of crashes with another VM")
	}
	return translator.CrashEvidenceFromWire(out), nil
}
