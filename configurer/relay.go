package configurer

import (
	"math"

	"github.com/buckthorndyke/buckthorndyke"
)

// Defaults, minimums and maximums of the settings of a relaying entry VM.
const (
	defaultChangeLimit       = 2 * buckthorndyke.Second
	maxChangeLimit           = buckthorndyke.Minute
	minChangeLimit           = 200 * buckthorndyke.Millisecond
	defaultMemoryMB          = 256
	defaultRelayDrainSeconds = 8
	defaultRetryBurst        = 56
	maxMemoryMB              = 1 << 20
	maxRelayDrainSeconds     = 600
	maxRetryBurst            = 100_000
	minMemoryMB              = 64
)

// Orders in which waiting requests are served.
const (
	// orderArrival is the order in which the requests began to wait.
	orderArrival = "arrival"
	// orderSlack is by priority, callers' shares, and the time left to target and deadline.
	orderSlack = "slack"
)

// What happens to long prompts.
const (
	// longPromptsIgnore sends them to servers with the urgency of short ones.
	longPromptsIgnore = "ignore"
	// longPromptsYield sends them with less urgency while they have time left.
	longPromptsYield = "yield"
)

// Relay holds the settings of an entry VM that relays requests to backend servers
// on a platform with a metadata store. It is immutable.
type Relay struct {
	// Allotments says by how much requests may exceed the allotments of callers.
	Allotments buckthorndyke.AllotmentBounds
	// ArrivalOrder is set if waiting requests are served in the order of their arrival and
	// never refused by a prediction.
	ArrivalOrder bool
	// ChangeLimit is the time within which a changed configuration must be in force.
	ChangeLimit buckthorndyke.Millis
	// ChecksFencingToken is set if the runners refuse orders with an outdated fencing
	// token.
	ChecksFencingToken bool
	// ClientsAddress is the address that accepts clients' requests.
	ClientsAddress string
	// CPUShare is the fraction of a CPU core that the VM may use, from 0 to 1.
	CPUShare float64
	Domain   buckthorndyke.DomainID
	// DrainLimit is the maximum time that the process may take to stop.
	DrainLimit buckthorndyke.Millis
	// EarlyLoads is set if the runners refuse each order from the acceptance of another
	// one until its end.
	EarlyLoads bool
	// FullSpeedLoads is how many loads of the whole fleet the weight store serves at
	// once at full speed.
	FullSpeedLoads int
	// LeaveLimit is the time after which a leaving server must get no new requests.
	LeaveLimit buckthorndyke.Millis
	// IgnoreLongPrompts is set if long prompts are sent to servers with the urgency of short
	// ones.
	IgnoreLongPrompts bool
	// Lease is the minimum time between the last order of a leader and the first order
	// of its successor.
	Lease buckthorndyke.Millis
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// MemoryMB is the machine's memory in megabytes.
	MemoryMB int
	// MetricsAddress is the address from which the metrics are scraped.
	MetricsAddress string
	Peers          Peers
	// ReadinessAddress is the address at which the load balancer checks whether the VM
	// is ready.
	ReadinessAddress string
	// RetryBurst is the maximum number of retries that the fleet sends to a service in
	// a burst.
	RetryBurst int
	// Seeds are the peer addresses of some other entry VMs. They may be out of date.
	Seeds        []string
	StoreAddress string
	VM           buckthorndyke.VMID
}

// ParseRelay parses the settings of a relaying entry VM. Its error is a
// *buckthorndyke.FaultsError that holds all faults. The platform's template may render
// any number as a fraction: limits are rounded down, the lease is rounded up.
func ParseRelay(data []byte) (Relay, error) {
	d := &document{data: data}
	root := d.parse()
	admission := root.object("admission", false)
	runners := root.object("runners", false)
	weights := root.object("weight-store", false)
	allotments := root.object("allotments", false)
	s := Relay{
		Allotments:         allotments.allotmentBounds(),
		ArrivalOrder:       admission.choice("order", orderSlack, orderArrival) == orderArrival,
		ChangeLimit:        root.roundedMillis("change-limit-ms", defaultChangeLimit, minChangeLimit, maxChangeLimit, math.Floor),
		ChecksFencingToken: runners.boolean("check-fence", false),
		ClientsAddress:     root.sectionAddress("clients"),
		CPUShare:           root.fraction("cpu-share", 1),
		Domain:             buckthorndyke.DomainID(root.name("failure-domain")),
		DrainLimit:         buckthorndyke.Millis(root.rounded("drain-limit-s", defaultRelayDrainSeconds, 1, maxRelayDrainSeconds, math.Floor)) * buckthorndyke.Second,
		EarlyLoads:         runners.boolean("early-loads", false),
		FullSpeedLoads:     weights.rounded("model-loads-at-once", defaultModelLoads, 1, maxLoads, math.Floor),
		IgnoreLongPrompts:  root.choice("long-prompts", longPromptsYield, longPromptsIgnore) == longPromptsIgnore,
		LeaveLimit:         root.roundedMillis("leave-limit-ms", defaultChangeLimit, minChangeLimit, maxChangeLimit, math.Floor),
		Lease:              root.roundedMillis("lease-ms", defaultLease, minLease, maxLease, math.Ceil),
		LogLevel:           root.choice("log-level", "info", "debug", "warn", "error"),
		MemoryMB:           root.rounded("memory-mb", defaultMemoryMB, minMemoryMB, maxMemoryMB, math.Floor),
		MetricsAddress:     root.sectionAddress("metrics"),
		Peers:              root.peers(),
		ReadinessAddress:   root.sectionAddress("readiness"),
		RetryBurst:         root.rounded("retry-burst", defaultRetryBurst, 0, maxRetryBurst, math.Floor),
		Seeds:              root.addresses("seeds"),
		StoreAddress:       root.sectionAddress("store"),
		VM:                 buckthorndyke.VMID(root.name("vm")),
	}
	admission.reportUnknownKeys()
	runners.reportUnknownKeys()
	weights.reportUnknownKeys()
	allotments.reportUnknownKeys()
	root.reportUnknownKeys()
	if err := buckthorndyke.NewFaults(d.faults); err != nil {
		return Relay{}, err
	}
	return s, nil
}
