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

// ConnectLeaderClient calls leaders over the Connect protocol. It implements
// buckthorndyke.LeaderClient.
type ConnectLeaderClient struct {
	client *http.Client
}

// NewConnectLeaderClient returns a client that authenticates with key, which all
// entry VMs share.
func NewConnectLeaderClient(key string) *ConnectLeaderClient {
	return &ConnectLeaderClient{client: peerClient(key)}
}

// Report implements buckthorndyke.LeaderClient.
func (c *ConnectLeaderClient) Report(
	ctx context.Context, address string, vm buckthorndyke.VMID, demand buckthorndyke.DemandReport,
) (buckthorndyke.DemandReply, error) {
	client := wireconnect.NewLeaderServiceClient(c.client, "http://"+address)
	out, err := client.Report(ctx, translator.DemandReportToWire(vm, demand))
	if err != nil {
		return buckthorndyke.DemandReply{}, errors.Wrap(err, "report demand to the leader")
	}
	return translator.DemandReplyFromWire(out), nil
}

// Yield implements buckthorndyke.LeaderClient.
func (c *ConnectLeaderClient) Yield(
	ctx context.Context, address string, fencingToken int64,
) (buckthorndyke.YieldReply, error) {
	client := wireconnect.NewLeaderServiceClient(c.client, "http://"+address)
	out, err := client.Yield(ctx, &wire.YieldRequest{Fence: fencingToken})
	if err != nil {
		return buckthorndyke.YieldReply{}, errors.Wrap(err, "ask the former leader to yield")
	}
	return buckthorndyke.YieldReply{GrantValid: out.InContact, SinceLastOrder: buckthorndyke.Millis(out.QuietMs)}, nil
}
