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

// ConnectLeaders reaches the leading VM by the connect protocol. It implements
// buckthorndyke.LeaderClient.
type ConnectLeaderClient struct {
	client *http.Client
}

// NewConnectLeaders returns leaders that are called with the fleet's key.
func NewConnectLeaderClient(key string) *ConnectLeaderClient {
	return &ConnectLeaderClient{client: peerClient(key)}
}

// Report implements buckthorndyke.LeaderClient.
func (l *ConnectLeaderClient) Report(
	ctx context.Context, address string, vm buckthorndyke.VMID, demand buckthorndyke.DemandReport,
) (buckthorndyke.DemandReply, error) {
	client := wireconnect.NewLeaderServiceClient(l.client, "http://"+address)
	out, err := client.Report(ctx, translator.DemandReportToWire(vm, demand))
	if err != nil {
		return buckthorndyke.DemandReply{}, errors.Wrap(err, "report the demand to the leader")
	}
	return translator.DemandReplyFromWire(out), nil
}

// Yield implements buckthorndyke.LeaderClient.
func (l *ConnectLeaderClient) Yield(ctx context.Context, address string, fence int64) (buckthorndyke.YieldReply, error) {
	client := wireconnect.NewLeaderServiceClient(l.client, "http://"+address)
	out, err := client.Yield(ctx, &wire.YieldRequest{Fence: fence})
	if err != nil {
		return buckthorndyke.YieldReply{}, errors.Wrap(err, "ask the previous leader to yield")
	}
	return buckthorndyke.YieldReply{GrantValid: out.InContact, SinceLastOrder: buckthorndyke.Millis(out.QuietMs)}, nil
}
