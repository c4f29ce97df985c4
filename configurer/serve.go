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
	// DrainLimit bounds the time that the process takes to stop.
	DrainLimit buckthorndyke.Millis
	// DriftPermille bounds how much faster one VM's clock runs than another's, in
	// parts of a thousand.
	DriftPermille int
	KeepWarm      KeepWarm
	// Lease is how long an owner may give orders without a sign from the log or
	// from its successors.
	Lease      buckthorndyke.Millis
	LogAddress string
	// LogLevel is debug, info, warn or error.
	LogLevel string
	Operator Operator
	Peers    Peers
	// ProbeInterval is the time between two probes of a peer.
	ProbeInterval buckthorndyke.Millis
	Runners       Runners
	// StalenessLimit is the time without contact to the log and all peers after
	// which the process reports that it is not ready.
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
	// RequestTimeout bounds a whole request, its answer included.
	RequestTimeout buckthorndyke.Millis
}

// KeepWarm holds the settings of eviction.
type KeepWarm struct {
	// ColdStartWeight weighs cold starts (1) against idle accelerator hours (0).
	ColdStartWeight float64
	// Fixed is the idle time-out of the policy "fixed".
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
	// Key is the key that all entry VMs of the fleet share.
	Key Secret
}

// Runners says which runners check fencing numbers.
type Runners struct {
	// CheckFence says what holds for all runners but the exceptions.
	CheckFencingToken bool
	Exceptions        []buckthorndyke.RunnerID
}

// ChecksFence reports whether a runner refuses orders with an old fencing
// number.
func (r Runners) ChecksFencingToken(runner buckthorndyke.RunnerID) bool {
	return r.CheckFencingToken != slices.Contains(r.Exceptions, runner)
}

// WeightStore holds the settings of the weight store.
type WeightStore struct {
	Address                   string
	MaxConcurrentAdapterLoads int
	MaxConcurrentModelLoads   int
	ModelLoadsPerSecond       int
}

// WithAddresses returns settings with other addresses of the process itself.
func (s Serve) WithAddresses(callers, peers, operator string) Serve {
	s.Callers.Address = callers
	s.Peers.Address = peers
	s.Operator.Address = operator
	return s
}

// WithCheckpointEvery returns settings with another interval of checkpoints.
func (s Serve) WithCheckpointEvery(records int) Serve {
	s.CheckpointEvery = records
	return s
}

// WithDrainLimit returns settings with another time to stop.
func (s Serve) WithDrainLimit(d buckthorndyke.Millis) Serve {
	s.DrainLimit = d
	return s
}

// WithLease returns settings with another lease.
func (s Serve) WithLease(d buckthorndyke.Millis) Serve {
	s.Lease = d
	return s
}

// WithPlatform returns settings with other addresses of the platform.
func (s Serve) WithPlatform(log, vmList, weightStore string) Serve {
	s.LogAddress = log
	s.VMListAddress = vmList
	s.WeightStore.Address = weightStore
	return s
}

// WithProbeInterval returns settings with another interval of probes.
func (s Serve) WithProbeInterval(d buckthorndyke.Millis) Serve {
	s.ProbeInterval = d
	return s
}

// WithSecrets returns settings that hold the secrets of all named files, which
// read returns.
func (s Serve) WithSecrets(read func(path string) ([]byte, error)) (Serve, error) {
	var err error
	if s.Operator.Token, err = s.Operator.Token.withFile(read); err != nil {
		return s, err
	}
	s.Peers.Key, err = s.Peers.Key.withFile(read)
	return s, err
}

// WithVM returns settings of another VM.
func (s Serve) WithVM(vm buckthorndyke.VMID, domain buckthorndyke.DomainID) Serve {
	s.VM = vm
	s.Domain = domain
	return s
}
