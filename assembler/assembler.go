// Package assembler builds an entry VM from its settings: the supervisor tree, the
// listeners and the clients of the platform's services.
package assembler

import (
	"context"
	"io"
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/arbiter"
	"github.com/buckthorndyke/buckthorndyke/configurer"
	"github.com/buckthorndyke/buckthorndyke/connector"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/evictor"
	"github.com/buckthorndyke/buckthorndyke/parser"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/supervisor"
	"github.com/buckthorndyke/buckthorndyke/supervisor/accountant"
	"github.com/buckthorndyke/buckthorndyke/supervisor/follower"
	"github.com/buckthorndyke/buckthorndyke/supervisor/gatekeeper"
	"github.com/buckthorndyke/buckthorndyke/supervisor/listener"
	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
	"github.com/buckthorndyke/buckthorndyke/supervisor/owner"
	"github.com/buckthorndyke/buckthorndyke/supervisor/owner/steward"
	"github.com/buckthorndyke/buckthorndyke/supervisor/prober"
	"github.com/buckthorndyke/buckthorndyke/supervisor/recorder"
	"github.com/buckthorndyke/buckthorndyke/supervisor/responder"
	"github.com/buckthorndyke/buckthorndyke/supervisor/router"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// Times derived from the settings.
const (
	// drainParts is the number of equal parts that the drain limit is divided into.
	// Requests may take all parts but one; the last is left for the hand-over.
	drainParts = 4
	// maxCheckpointAge is the maximum age of the newest checkpoint.
	maxCheckpointAge = buckthorndyke.Hour
	// readsPerLease is how often the tail of the log is read within a lease.
	readsPerLease = 3
)

// Parts of the machine's memory, in thousandths.
const (
	// heapPermille is the part that the Go runtime may use. The program's file and the
	// sockets use the rest.
	heapPermille = 700
	// messageMemoryPermille is the part that requests and responses may take together.
	messageMemoryPermille = 400
)

// Assembler builds and runs entry VMs.
type Assembler struct {
	output io.Writer
}

// New returns an assembler whose entry VMs log to output.
func New(output io.Writer) *Assembler {
	return &Assembler{output: output}
}

// Serve runs an entry VM until ctx ends or an operator drains it.
func (a *Assembler) Serve(ctx context.Context, s configurer.Serve) error {
	logger, err := reporter.NewLogger(a.output, s.LogLevel, s.VM)
	if err != nil {
		return err
	}
	clock := timekeeper.NewRealClock()
	metrics := reporter.NewMetrics()
	rules := parser.NewRules()
	records := encoder.NewProto(rules)
	limitHeap(s.MemoryMB)
	memory := accountant.New(messageMemory(s.MemoryMB), metrics, clock, logger)
	self := buckthorndyke.Self{
		Domain:      s.Domain,
		Incarnation: buckthorndyke.Incarnation(clock.Now()),
		PeerAddress: s.Peers.Address,
		VM:          s.VM,
	}
	platform := supervisor.Platform{
		Engines: recorder.NewEngines(connector.NewHTTPEngines(), metrics, clock),
		Log:     connector.NewHTTPLog(s.LogAddress),
		Peers:   connector.NewConnectPeers(s.Peers.Key.Text, records),
		Service: connector.NewHTTPService(connector.WithMemory(memory)),
		VMList:  connector.NewHTTPVMList(s.VMListAddress),
	}
	stateMachine := arbiter.New(rules, arbiter.WithDiff(parser.Diff))
	options := append(treeOptions(s), supervisor.WithLogger(logger), supervisor.WithRouter(router.WithMeter(metrics)))
	tree := supervisor.New(self, platform, stateMachine, records, clock, options...)
	tree.AddWork(
		memory,
		responder.New(s.Peers.Address, s.Peers.Key.Text, tree.Peer(), records),
		recorder.New(self, tree.Follower(), metrics),
		operator.New(tree.Follower(), tree.Proposer(),
			operator.WithAddress(s.Operator.Address), operator.WithDrain(tree.Drain), operator.WithFleet(tree.Prober()),
			operator.WithLogger(logger),
			operator.WithMetrics(metrics), operator.WithParser(rules), operator.WithToken(s.Operator.Token.Text)),
	)
	tree.AddFront(listener.New(s.Callers.Address, recorder.NewGateway(tree.Gateway(), metrics, clock), clock,
		listener.WithLimits(listenerLimits(s)), listener.WithReadiness(tree.Prober())))
	logger.Info().EmbedObject(reporter.EventProcessStarted).Uint64("incarnation", uint64(self.Incarnation)).Send()
	err = tree.Serve(ctx)
	logger.Info().EmbedObject(reporter.EventProcessStopped).Send()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// keepWarmPolicy returns the keep-warm policy that the settings select.
func keepWarmPolicy(s configurer.KeepWarm) buckthorndyke.KeepWarmPolicy {
	switch s.Policy {
	case configurer.PolicyFixed:
		return evictor.NewFixedKeepWarm(s.FixedTimeout)
	case configurer.PolicyLRU:
		return evictor.NewLRUKeepWarm()
	default:
		return evictor.NewAdaptiveKeepWarm(s.ColdStartWeight)
	}
}

// listenerLimits returns the limits of the interface to callers.
func listenerLimits(s configurer.Serve) listener.Limits {
	limits := listener.DefaultLimits()
	limits.Body = int64(s.Callers.BodyLimitBytes)
	limits.Connections = s.Callers.ConnectionLimit
	limits.Drain = s.DrainLimit / drainParts * (drainParts - 1)
	limits.Header = s.Callers.HeaderLimitBytes
	limits.Request = s.Callers.RequestTimeout
	return limits
}

// limitHeap makes the garbage collector keep the process within a machine's memory. The
// operator's own limit in the environment takes precedence.
func limitHeap(memoryMB int) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryMB) << 20 / 1000 * heapPermille)
	}
}

// messageMemory returns how many bytes requests and responses may take together on a machine
// with the given memory.
func messageMemory(memoryMB int) int {
	return memoryMB << 20 / 1000 * messageMemoryPermille
}

// treeOptions returns the options of the supervisor tree for the settings.
func treeOptions(s configurer.Serve) []supervisor.Option {
	return []supervisor.Option{
		supervisor.WithDrainLimit(s.DrainLimit),
		supervisor.WithFollower(
			follower.WithCheckpoints(s.CheckpointEvery, maxCheckpointAge),
			follower.WithReadWait(s.Lease/readsPerLease),
		),
		supervisor.WithGatekeeper(
			gatekeeper.WithAdapterLimit(s.WeightStore.MaxConcurrentAdapterLoads),
			gatekeeper.WithModelLimits(s.WeightStore.MaxConcurrentModelLoads, s.WeightStore.ModelLoadsPerSecond),
		),
		supervisor.WithOwner(
			owner.WithDrift(s.DriftPermille),
			owner.WithFencingTokenChecks(s.Runners.ChecksFencingToken),
			owner.WithLease(s.Lease),
			owner.WithStewardOptions(steward.WithKeepWarm(keepWarmPolicy(s.KeepWarm))),
		),
		supervisor.WithProber(
			prober.WithInterval(s.ProbeInterval, s.ProbeInterval),
			prober.WithStalenessLimit(s.StalenessLimit),
		),
	}
}
