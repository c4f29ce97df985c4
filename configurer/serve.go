package configurer

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// Serve holds the settings of an entry VM. It is immutable.
type Serve struct {
	Callers Callers
	// CheckpointEvery is the number of records of the control stream between two
	// checkpoints.
	CheckpointEvery int
	Domain          buckthorndyke.DomainID
	// DrainLimit is the maximum time that the process may take to stop.
	DrainLimit buckthorndyke.Millis
	// DriftPermille is the maximum difference in speed between the clocks of two VMs,
	// in parts per thousand.
	DriftPermille int
	KeepWarm      KeepWarm
	// Lease is how long an owner may give orders without a reply from the log or from
	// its successors.
	Lease      buckthorndyke.Millis
	LogAddress string
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// MemoryMB is the machine's memory in megabytes.
	MemoryMB int
	Operator Operator
	Peers    Peers
	// ProbeInterval is the time between two probes of a peer.
	ProbeInterval buckthorndyke.Millis
	Runners       Runners
	// StalenessLimit is how long the process may be out of contact with both the log
	// and all peers before it reports that it is not ready.
	StalenessLimit buckthorndyke.Millis
	VM             buckthorndyke.VMID
	VMListAddress  string
	WeightStore    WeightStore
}

// Callers holds the settings of the interface to callers.
type Callers struct {
	Address          string
	BodyLimitBytes   int
	ConnectionLimit  int
	HeaderLimitBytes int
	// RequestTimeout is the maximum duration of a request, including its response.
	RequestTimeout buckthorndyke.Millis
}

// KeepWarm holds the settings that determine when idle models are evicted.
type KeepWarm struct {
	// ColdStartWeight is the weight of cold starts against idle accelerator hours: 1
	// avoids cold starts, 0 avoids idle hours.
	ColdStartWeight float64
	// FixedTimeout is the idle time after which the policy "fixed" evicts a model.
	FixedTimeout buckthorndyke.Millis
	// Policy is adaptive, fixed or lru.
	Policy string
}

// Operator holds the settings of the interface to operators.
type Operator struct {
	Address string
	Token   Secret
}

// Peers holds the settings of the interface between entry VMs.
type Peers struct {
	Address string
	// Key is the secret that all entry VMs of the fleet share.
	Key Secret
}

// Runners holds the settings that tell which runners check fencing tokens.
type Runners struct {
	// CheckFencingToken is set if all runners except Exceptions check fencing tokens. If
	// it is not set, only the runners in Exceptions do.
	CheckFencingToken bool
	Exceptions        []buckthorndyke.RunnerID
}

// ChecksFencingToken reports whether a runner refuses orders with an outdated
// fencing token.
func (r Runners) ChecksFencingToken(runner buckthorndyke.RunnerID) bool {
	return r.CheckFencingToken != slices.Contains(r.Exceptions, runner)
}

// WeightStore holds the address of the weight store and the limits on the loads
// from it, which apply to the whole fleet.
type WeightStore struct {
	Address                   string
	MaxConcurrentAdapterLoads int
	MaxConcurrentModelLoads   int
	ModelLoadsPerSecond       int
}

// WithAddresses returns a copy of s with other listen addresses.
func (s Serve) WithAddresses(callers, peers, operator string) Serve {
	s.Callers.Address = callers
	s.Peers.Address = peers
	s.Operator.Address = operator
	return s
}

// WithCheckpointEvery returns a copy of s with another number of records between two
// checkpoints.
func (s Serve) WithCheckpointEvery(records int) Serve {
	s.CheckpointEvery = records
	return s
}

// WithDrainLimit returns a copy of s with another drain limit.
func (s Serve) WithDrainLimit(d buckthorndyke.Millis) Serve {
	s.DrainLimit = d
	return s
}

// WithLease returns a copy of s with another lease.
func (s Serve) WithLease(d buckthorndyke.Millis) Serve {
	s.Lease = d
	return s
}

// WithPlatform returns a copy of s with other addresses of the platform's services.
func (s Serve) WithPlatform(log, vmList, weightStore string) Serve {
	s.LogAddress = log
	s.VMListAddress = vmList
	s.WeightStore.Address = weightStore
	return s
}

// WithProbeInterval returns a copy of s with another probe interval.
func (s Serve) WithProbeInterval(d buckthorndyke.Millis) Serve {
	s.ProbeInterval = d
	return s
}

// WithSecrets returns a copy of s with the secrets from all files that the settings
// name. It calls read with the path of each file.
func (s Serve) WithSecrets(read func(path string) ([]byte, error)) (Serve, error) {
	var err error
	if s.Operator.Token, err = s.Operator.Token.withFile(read); err != nil {
		return s, err
	}
	s.Peers.Key, err = s.Peers.Key.withFile(read)
	return s, err
}

// WithVM returns a copy of s for another VM.
func (s Serve) WithVM(vm buckthorndyke.VMID, domain buckthorndyke.DomainID) Serve {
	s.VM = vm
	s.Domain = domain
	return s
}
