package buckthorndyke

import "context"

// ModelKey names a model or an adapter of it at a service.
type ModelKey struct {
	// Adapter is empty for the model itself.
	Adapter string
	Model   ModelID
	Service ServiceID
}

// Base returns the key of the model itself.
func (k ModelKey) Base() ModelKey {
	k.Adapter = ""
	return k
}

// DemandEntry is what one VM sees of the demand for a model or adapter.
type DemandEntry struct {
	// Arrivals is the number of requests since the last message, or of all recent
	// ones if the leader asked for them.
	Arrivals int
	Key      ModelKey
	// Running is the number of requests at runners.
	Running int
	// TimeLeft is how long the request that has to begin first can wait.
	TimeLeft Millis
	// Waiting is the number of requests that no runner can take.
	Waiting int
}

// ServerLoad is the number of requests that VMs have at a server.
type ServerLoad struct {
	Requests int
	Server   RunnerID
}

// AttemptCounts is what the attempts at a server have shown of it.
type AttemptCounts struct {
	// Failed is the number of attempts that the server did not answer as it should.
	Failed int
	Served int
	Server RunnerID
}

// DemandReport is what one VM tells the leader.
type DemandReport struct {
	// Attempts is what the VM's requests have shown of servers since its last report.
	Attempts []AttemptCounts
	Entries  []DemandEntry
	// ListVersionTag identifies the list of servers that the VM knows, or is 0.
	ListVersionTag uint64
	// ServerLoads are the VM's requests at servers.
	ServerLoads []ServerLoad
	// Waiting is set if some request waits for a server.
	Waiting bool
}

// RunnerModels says what the leader knows of a runner ahead of the platform's list.
type RunnerModels struct {
	Incarnation  Incarnation
	LoadedModels []LoadedModel
	Runner       RunnerID
	// Unloading lists the models that are about to be unloaded.
	Unloading []ModelID
}

// LoadEstimate says when a runner is going to hold what requests wait for.
type LoadEstimate struct {
	Key ModelKey
	// ReadyIn is the time until then.
	ReadyIn Millis
}

// DemandReply is the leader's answer to a report of demand.
type DemandReply struct {
	// FullSpeedLoads is the number of loads that the weight store allows at full speed, as the
	// leader has learnt, or 0.
	FullSpeedLoads int
	// Leading is not set if the VM that was asked is not the leader.
	Leading bool
	// List and Routing are the leader's word on the list of servers and on the
	// configuration.
	List VersionNotice
	// ListChange leads to that list from the one that the VM knows, or is nil.
	ListChange *ListChange
	// LoadEstimates tells when what the VM's requests wait for is going to be held. What
	// it lacks is not being loaded.
	LoadEstimates []LoadEstimate
	// ReportingVMs is the number of VMs that report to the leader, or 0 if it does not say.
	ReportingVMs int
	Routing      VersionNotice
	RunnerModels []RunnerModels
	// ServerLoads are the requests that the other VMs have at servers.
	ServerLoads []ServerLoad
	// ShouldCampaign is set if the platform does not renew the leader's grant and the VM is
	// one of those that ought to take part in the election.
	ShouldCampaign bool
	// Suspects are the servers that fail too many requests of all VMs.
	Suspects []RunnerID
	// WantRecentArrivals is set if the leader lacks the VM's arrivals before the report: the
	// next one has to hold all recent ones.
	WantRecentArrivals bool
}

// YieldReply is what a VM that led before says of itself.
type YieldReply struct {
	// GrantValid is set if the platform still renews the VM's grants.
	GrantValid bool
	// SinceLastOrder is the time since the VM's last order, or NeverOrdered.
	SinceLastOrder Millis
}

// NeverOrdered stands for the time since the last order of a VM that has given
// none.
const NeverOrdered Millis = -1

// LeaderClient reaches the leading VM and those that led before.
type LeaderClient interface {
	// Report tells the VM at address the demand that vm sees.
	Report(ctx context.Context, address string, vm VMID, demand DemandReport) (DemandReply, error)
	// Yield asks the VM at address to give no more orders with a fencing number
	// below fence.
	Yield(ctx context.Context, address string, fence int64) (YieldReply, error)
}

// DemandSource yields the demand that the VM sees.
type DemandSource interface {
	// Demand returns the demand since the last call, or with all recent arrivals.
	Demand(ctx context.Context, recent bool) (DemandReport, error)
	// HandleNoLeader says that no leader answers.
	HandleNoLeader(ctx context.Context) error
	// HandleReply takes over the leader's answer.
	HandleReply(ctx context.Context, reply DemandReply) error
	// WorkWaiting receives a value once something begins to wait.
	WorkWaiting() <-chan struct{}
}
