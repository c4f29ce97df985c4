package configurer

import (
	"fmt"
	"strings"

	"github.com/buckthorndyke/buckthorndyke"
)

// Eviction policies, as named in the settings.
const (
	PolicyAdaptive = "adaptive"
	PolicyFixed    = "fixed"
	PolicyLRU      = "lru"
)

// Default values of an entry VM's settings.
const (
	defaultAdapterLoads        = 30
	defaultBodyLimitBytes      = 1 << 20
	defaultCheckpointEvery     = 2000
	defaultColdStartWeight     = 0.5
	defaultConnectionLimit     = 1024
	defaultDrainLimit          = 30 * buckthorndyke.Second
	defaultDriftPermille       = 20
	defaultFixedTimeout        = 5 * buckthorndyke.Minute
	defaultHeaderLimitBytes    = 16 << 10
	defaultLease               = 3 * buckthorndyke.Second
	defaultModelLoads          = 4
	defaultModelLoadsPerSecond = 4
	defaultProbeInterval       = 500 * buckthorndyke.Millisecond
	defaultRequestTimeout      = 5 * buckthorndyke.Minute
	defaultStalenessLimit      = 10 * buckthorndyke.Second
)

// Minimum and maximum values of an entry VM's settings.
const (
	maxBodyLimitBytes   = 64 << 20
	maxCheckpointEvery  = 100_000
	maxConnectionLimit  = 100_000
	maxDrainLimit       = 10 * buckthorndyke.Minute
	maxDriftPermille    = 500
	maxFixedTimeout     = buckthorndyke.Day
	maxHeaderLimitBytes = 1 << 20
	maxLease            = buckthorndyke.Minute
	maxLoads            = 10_000
	maxProbeInterval    = 30 * buckthorndyke.Second
	maxRequestTimeout   = buckthorndyke.Hour
	maxStalenessLimit   = buckthorndyke.Hour
	minBodyLimitBytes   = 1 << 10
	minDrainLimit       = 100 * buckthorndyke.Millisecond
	minHeaderLimitBytes = 1 << 10
	minLease            = 200 * buckthorndyke.Millisecond
	minProbeInterval    = 20 * buckthorndyke.Millisecond
)

// ParseServe parses the settings of an entry VM. Its error is a
// *buckthorndyke.FaultsError that holds all faults. Secrets that the settings only
// name a file for are not read; see Serve.WithSecrets.
func ParseServe(data []byte) (Serve, error) {
	d := &document{data: data}
	root := d.parse()
	s := Serve{
		Callers:         root.callers(),
		CheckpointEvery: root.integer("checkpoint-every", defaultCheckpointEvery, 1, maxCheckpointEvery),
		Domain:          buckthorndyke.DomainID(root.name("failure-domain")),
		DrainLimit:      root.millis("drain-limit-ms", defaultDrainLimit, minDrainLimit, maxDrainLimit),
		DriftPermille:   root.integer("drift-permille", defaultDriftPermille, 0, maxDriftPermille),
		KeepWarm:        root.keepWarm(),
		Lease:           root.millis("lease-ms", defaultLease, minLease, maxLease),
		LogAddress:      root.sectionAddress("log"),
		LogLevel:        root.choice("log-level", "info", "debug", "warn", "error"),
		MemoryMB:        root.integer("memory-mb", defaultMemoryMB, minMemoryMB, maxMemoryMB),
		Operator:        root.operator(),
		Peers:           root.peers(),
		ProbeInterval:   root.millis("probe-interval-ms", defaultProbeInterval, minProbeInterval, maxProbeInterval),
		Runners:         root.runners(),
		StalenessLimit:  root.millis("staleness-limit-ms", defaultStalenessLimit, minLease, maxStalenessLimit),
		VM:              buckthorndyke.VMID(root.name("vm")),
		VMListAddress:   root.sectionAddress("vm-list"),
		WeightStore:     root.weightStore(),
	}
	root.reportUnknownKeys()
	root.checkAddresses(s)
	root.checkTimes(s)
	if err := buckthorndyke.NewFaults(d.faults); err != nil {
		return Serve{}, err
	}
	return s, nil
}

func (o object) callers() Callers {
	section := o.object("callers", true)
	defer section.reportUnknownKeys()
	return Callers{
		Address:          section.address(addressListen),
		BodyLimitBytes:   section.integer("body-limit-bytes", defaultBodyLimitBytes, minBodyLimitBytes, maxBodyLimitBytes),
		ConnectionLimit:  section.integer("connection-limit", defaultConnectionLimit, 1, maxConnectionLimit),
		HeaderLimitBytes: section.integer("header-limit-bytes", defaultHeaderLimitBytes, minHeaderLimitBytes, maxHeaderLimitBytes),
		RequestTimeout: section.millis("request-timeout-ms",
			defaultRequestTimeout, 100*buckthorndyke.Millisecond, maxRequestTimeout),
	}
}

func (o object) keepWarm() KeepWarm {
	section := o.object("keep-warm", false)
	defer section.reportUnknownKeys()
	return KeepWarm{
		ColdStartWeight: section.fraction("cold-start-weight", defaultColdStartWeight),
		FixedTimeout:    section.millis("fixed-ms", defaultFixedTimeout, buckthorndyke.Millisecond, maxFixedTimeout),
		Policy:          section.choice("policy", PolicyAdaptive, PolicyFixed, PolicyLRU),
	}
}

func (o object) operator() Operator {
	section := o.object("operator", true)
	defer section.reportUnknownKeys()
	return Operator{Address: section.address(addressListen), Token: section.secret("token")}
}

func (o object) peers() Peers {
	section := o.object("peers", true)
	defer section.reportUnknownKeys()
	return Peers{Address: section.address(addressRemote), Key: section.secret("key")}
}

func (o object) runners() Runners {
	section := o.object("runners", false)
	defer section.reportUnknownKeys()
	r := Runners{CheckFencingToken: section.boolean("check-fence", true)}
	for _, name := range section.names("exceptions") {
		r.Exceptions = append(r.Exceptions, buckthorndyke.RunnerID(name))
	}
	return r
}

// sectionAddress returns the address in the section under key, at which other
// processes connect.
func (o object) sectionAddress(key string) string {
	section := o.object(key, true)
	defer section.reportUnknownKeys()
	return section.address(addressRemote)
}

func (o object) weightStore() WeightStore {
	section := o.object("weight-store", true)
	defer section.reportUnknownKeys()
	return WeightStore{
		Address:                   section.address(addressRemote),
		MaxConcurrentAdapterLoads: section.integer("adapter-loads-at-once", defaultAdapterLoads, 1, maxLoads),
		MaxConcurrentModelLoads:   section.integer("model-loads-at-once", defaultModelLoads, 1, maxLoads),
		ModelLoadsPerSecond:       section.integer("model-loads-per-second", defaultModelLoadsPerSecond, 1, maxLoads),
	}
}

// checkAddresses reports two listen addresses of the process that are the same.
// Addresses with port 0 are skipped, because the operating system chooses the port.
func (o object) checkAddresses(s Serve) {
	seen := make(map[string]string)
	for _, endpoint := range []struct{ key, address string }{
		{"callers", s.Callers.Address},
		{"peers", s.Peers.Address},
		{"operator", s.Operator.Address},
	} {
		if endpoint.address == "" || strings.HasSuffix(endpoint.address, ":0") {
			continue
		}
		if first, ok := seen[endpoint.address]; ok {
			o.reportConflict(endpoint.key, fmt.Sprintf("%s and %s have the same address", first, endpoint.key), "use a different port for each")
		}
		seen[endpoint.address] = endpoint.key
	}
}

// checkTimes reports durations that contradict each other.
func (o object) checkTimes(s Serve) {
	if s.ProbeInterval >= s.Lease {
		o.reportConflict("probe-interval-ms", fmt.Sprintf("the probe interval of %d ms is not shorter than the lease of %d ms", s.ProbeInterval, s.Lease),
			"lower probe-interval-ms or raise lease-ms")
	}
	if s.StalenessLimit < s.Lease {
		o.reportConflict("staleness-limit-ms", fmt.Sprintf("the staleness limit of %d ms is shorter than the lease of %d ms", s.StalenessLimit, s.Lease),
			"raise staleness-limit-ms or lower lease-ms")
	}
}

// reportConflict records a fault at the value under key, or at the start of the
// object if the setting has its default.
func (o object) reportConflict(key, cause, remedy string) {
	if o.absent {
		return
	}
	offset := o.offset
	if value, ok := o.member(key); ok {
		offset = value.StartOffset
	}
	o.d.report(offset, buckthorndyke.FaultConflict, cause, remedy)
}
