package assembler

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog/diode"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/configurer"
	"github.com/buckthorndyke/buckthorndyke/connector"
	"github.com/buckthorndyke/buckthorndyke/platform"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/entrance"
	"github.com/buckthorndyke/buckthorndyke/supervisor/responder"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const (
	// bodyLimit bounds the body of a relayed request, in bytes.
	bodyLimit = 8 << 20
	// electionGroup names the group of the VMs that may give orders.
	electionGroup = "buckthorndyke"
	// grantTime is how long a grant to lead lasts without a renewal. The platform
	// allows no less than a second.
	grantTime = 1500 * buckthorndyke.Millisecond
	// logBacklog bounds the lines of the log that wait to be written.
	logBacklog = 4096
)

// Relay runs an entry VM that relays requests until ctx ends.
func (a *Assembler) Relay(ctx context.Context, s configurer.Relay) error {
	output := diode.NewWriter(a.output, logBacklog, 0, nil)
	defer func() { _ = output.Close() }()
	logger, err := reporter.NewLogger(output, s.LogLevel, s.VM)
	if err != nil {
		return err
	}
	clock := timekeeper.NewRealClock()
	self := buckthorndyke.Self{
		Domain:      s.Domain,
		Incarnation: buckthorndyke.Incarnation(clock.Now()),
		PeerAddress: s.Peers.Address,
		VM:          s.VM,
	}
	store := platform.NewStore(s.StoreAddress)
	runners := platform.NewRunners(clock)
	outside := relayer.Platform{
		Directory: platform.NewDirectory(store, clock),
		Election:  platform.NewElection(store, electionGroup, self, grantTime, clock),
		Leaders:   connector.NewConnectLeaders(s.Peers.Key.Text),
		Observer:  platform.NewElection(store, electionGroup, self, grantTime, clock),
		Pool:      runners,
	}
	tree := relayer.New(self, outside, relayer.Settings{
		AtOnce: s.LoadsAtOnce, ChecksFence: s.ChecksFence, DrainLimit: s.DrainLimit, Grant: grantTime, Lease: s.Lease, RetryBurst: s.RetryBurst,
	}, clock, logger)
	tree.AddBase(runners, responder.NewLeader(s.Peers.Address, s.Peers.Key.Text, tree.Leader()))
	tree.AddFront(entrance.Addresses{Clients: s.ClientsAddress, Readiness: s.ReadinessAddress},
		platform.NewFront(tree.Relay(), bodyLimit, clock), clock)
	logger.Info().EmbedObject(reporter.EventProcessStarted).Uint64("incarnation", uint64(self.Incarnation)).Send()
	err = tree.Serve(ctx)
	logger.Info().EmbedObject(reporter.EventProcessStopped).Send()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
