package configurer

import "github.com/buckthorndyke/buckthorndyke"

// Defaults and ranges of the settings of a relaying entry VM.
const (
	defaultChangeLimit       = 2 * buckthorndyke.Second
	maxChangeLimit           = buckthorndyke.Minute
	minChangeLimit           = 200 * buckthorndyke.Millisecond
	defaultRelayDrainSeconds = 8
	defaultRetryBurst        = 56
	maxRelayDrainSeconds     = 600
	maxRetryBurst            = 1000
)

// Relay holds the settings of an entry VM that relays requests on a platform
// with a metadata store. It is immutable.
type Relay struct {
	// ChangeLimit is the time in which a configuration has to be in force.
	ChangeLimit buckthorndyke.Millis
	// ChecksFence is set if the runners refuse orders with an old fencing number.
	ChecksFencingToken bool
	// ClientsAddress is where clients' requests are served.
	ClientsAddress string
	// CPUShare is the part of a core that the VM may use, from 0 to 1.
	CPUShare float64
	Domain   buckthorndyke.DomainID
	// DrainLimit bounds the time that the process takes to stop.
	DrainLimit buckthorndyke.Millis
	// FullSpeedLoads is the number of loads that the weight store allows at full
	// speed, of the whole fleet.
	FullSpeedLoads int
	// LeaveLimit is the time after which a leaving server gets no new work.
	LeaveLimit buckthorndyke.Millis
	// Lease is how long a grant to give orders lasts.
	Lease buckthorndyke.Millis
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// MetricsAddress is where scrapers read the metrics.
	MetricsAddress string
	Peers          Peers
	// ReadinessAddress is where the balancer asks whether the VM is ready.
	ReadinessAddress string
	// RetryBurst is the number of retries that the fleet sends to a service at once.
	RetryBurst int
	// Seeds are the peer addresses of some entry VMs, which may be stale.
	Seeds        []string
	StoreAddress string
	VM           buckthorndyke.VMID
}

// ParseRelay returns the settings of a relaying entry VM in data. Its error is a
// *buckthorndyke.FaultsError that holds all faults.
func ParseRelay(data []byte) (Relay, error) {
	d := &document{data: data}
	root := d.parse()
	runners := root.object("runners", false)
	weights := root.object("weight-store", false)
	s := Relay{
		ChangeLimit:        root.millis("change-limit-ms", defaultChangeLimit, minChangeLimit, maxChangeLimit),
		ChecksFencingToken: runners.boolean("check-fence", false),
		ClientsAddress:     root.sectionAddress("clients"),
		CPUShare:           root.fraction("cpu-share", 1),
		Domain:             buckthorndyke.DomainID(root.name("failure-domain")),
		DrainLimit:         buckthorndyke.Millis(root.integer("drain-limit-s", defaultRelayDrainSeconds, 1, maxRelayDrainSeconds)) * buckthorndyke.Second,
		FullSpeedLoads:     weights.integer("model-loads-at-once", defaultModelLoads, 1, maxLoads),
		LeaveLimit:         root.millis("leave-limit-ms", defaultChangeLimit, minChangeLimit, maxChangeLimit),
		Lease:              root.millis("lease-ms", defaultLease, minLease, maxLease),
		LogLevel:           root.choice("log-level", "info", "debug", "warn", "error"),
		MetricsAddress:     root.sectionAddress("metrics"),
		Peers:              root.peers(),
		ReadinessAddress:   root.sectionAddress("readiness"),
		RetryBurst:         root.integer("retry-burst", defaultRetryBurst, 1, maxRetryBurst),
		Seeds:              root.addresses("seeds"),
		StoreAddress:       root.sectionAddress("store"),
		VM:                 buckthorndyke.VMID(root.name("vm")),
	}
	runners.reportUnknownKeys()
	weights.reportUnknownKeys()
	root.reportUnknownKeys()
	if err := buckthorndyke.NewFaults(d.faults); err != nil {
		return Relay{}, err
	}
	return s, nil
}
