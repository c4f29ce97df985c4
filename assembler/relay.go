package assembler

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/bootstrapper"
	"github.com/buckthorndyke/buckthorndyke/configurer"
	"github.com/buckthorndyke/buckthorndyke/connector"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/platform"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/accountant"
	"github.com/buckthorndyke/buckthorndyke/supervisor/recorder"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/entrance"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/exporter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/reloader"
	"github.com/buckthorndyke/buckthorndyke/supervisor/responder"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const (
	// bodyLimit is the maximum size of the body of a relayed request, in bytes.
	bodyLimit = 8 << 20
	// grantTime is how long a grant to lead lasts without a renewal. It is half of the
	// lease in the deployments' settings, which separates the orders of two leaders.
	grantTime = 1500 * buckthorndyke.Millisecond
	// leaderShare is the fraction of a CPU core below which a VM is only a standby
	// leader, because a leader processes the demand reports of the whole fleet.
	leaderShare = 0.35
	// leastLogLevel is the lowest level that the settings can choose. The logger itself
	// lets all levels from this one pass; setLogLevel sets the level in force.
	leastLogLevel = "debug"
)

// Relay runs an entry VM that relays requests until ctx ends. It rereads its
// settings with readSettings and applies a changed log level without a restart. Other
// changes are ignored until the next start.
func (a *Assembler) Relay(ctx context.Context, s configurer.Relay, readSettings func() ([]byte, error)) error {
	metrics := reporter.NewMetrics()
	output := reporter.NewQueue(a.output, func(lines int) { metrics.Count(buckthorndyke.MetricLinesDropped, int64(lines)) })
	defer func() { _ = output.Close() }()
	logger, err := reporter.NewLogger(output, leastLogLevel, s.VM)
	if err != nil {
		return err
	}
	if err := setLogLevel(s.LogLevel); err != nil {
		return err
	}
	clock := timekeeper.NewBootClock()
	self := buckthorndyke.Self{
		Domain:      s.Domain,
		Incarnation: buckthorndyke.Incarnation(clock.Now()),
		PeerAddress: s.Peers.Address,
		VM:          s.VM,
	}
	store := platform.NewStore(s.StoreAddress)
	limitHeap(s.MemoryMB)
	memory := accountant.New(messageMemory(s.MemoryMB), metrics, clock, logger)
	pool := platform.NewBackendPool(clock, platform.WithPoolMemory(memory))
	peers := connector.NewConnectDirectoryPeers(s.Peers.Key.Text, clock)
	directory := platform.NewDirectory(store, clock)
	routings := recorder.NewRoutingSource(
		bootstrapper.NewRoutings(peers, encoder.Routings{}, directory, s.Seeds, self.PeerAddress, clock, logger), metrics)
	platformClients := relayer.Platform{
		CrashPeers: peers,
		Directory: bootstrapper.NewDirectory(
			recorder.NewDirectory(directory, metrics, clock), peers, s.Seeds, logger, bootstrapper.WithRoutingCopies(routings, clock)),
		Election:       platform.NewElection(store, self, grantTime, clock),
		Lists:          bootstrapper.NewLists(peers, s.Seeds, self.PeerAddress, clock, logger),
		Leaders:        connector.NewConnectLeaderClient(s.Peers.Key.Text),
		Memory:         memory,
		Meter:          metrics,
		Observer:       platform.NewElection(store, self, grantTime, clock),
		Pool:           recorder.NewBackendPool(pool, metrics, clock),
		Quarantines:    platform.NewQuarantines(store),
		RoutingEncoder: encoder.Routings{},
		Routings:       routings,
	}
	tree := relayer.New(self, platformClients, relayer.Settings{
		Allotments:         s.Allotments,
		FullSpeedLoads:     s.FullSpeedLoads,
		ChangeLimit:        s.ChangeLimit,
		ChecksFencingToken: s.ChecksFencingToken,
		EarlyLoads:         s.EarlyLoads,
		DrainLimit:         s.DrainLimit,
		Grant:              grantTime,
		Lease:              s.Lease,
		LeaveLimit:         s.LeaveLimit,
		Standby:            s.CPUShare < leaderShare,
		RetryBurst:         s.RetryBurst,
		Seeds:              s.Seeds,
		ArrivalOrder:       s.ArrivalOrder,
		IgnoreLongPrompts:  s.IgnoreLongPrompts,
	}, clock, logger)
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	reloadTask := reloader.New(readSettings, applySettings, reloadSignals, clock, logger)
	tree.AddBase(memory, pool, reloadTask, exporter.New(s.MetricsAddress, metrics.Text),
		responder.NewRelayResponder(s.Peers.Address, s.Peers.Key.Text, tree.LeaderService(), tree.DirectoryService()))
	tree.AddFront(entrance.Addresses{Clients: s.ClientsAddress, Readiness: s.ReadinessAddress},
		platform.NewHandler(recorder.NewRelay(tree.Relay(), metrics, clock), bodyLimit, clock, platform.WithMemory(memory)), clock)
	logger.Info().EmbedObject(reporter.EventProcessStarted).Uint64("incarnation", uint64(self.Incarnation)).Send()
	err = tree.Serve(ctx)
	logger.Info().EmbedObject(reporter.EventProcessStopped).Send()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// applySettings applies the log level in changed settings. All other settings require
// a restart. It returns an error if the settings have faults.
func applySettings(data []byte) error {
	s, err := configurer.ParseRelay(data)
	if err != nil {
		return err
	}
	return setLogLevel(s.LogLevel)
}

// setLogLevel sets the minimum level of the lines that are logged, for the whole
// process.
func setLogLevel(name string) error {
	level, err := zerolog.ParseLevel(name)
	if err != nil {
		return errors.Wrap(err, "choose debug, info, warn or error")
	}
	zerolog.SetGlobalLevel(level)
	return nil
}
