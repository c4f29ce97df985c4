package buckthorndyke

import "context"

// ModelKey identifies a model, or an adapter of it, at a service.
type ModelKey struct {
	// Adapter is empty for the model itself.
	Adapter string
	Model   ModelID
	Service ServiceID
}

// Base returns the key of the model without an adapter.
func (k ModelKey) Base() ModelKey {
	k.Adapter = ""
	return k
}

// DemandEntry is the demand for a model or adapter as seen by one VM.
type DemandEntry struct {
	// Arrivals is the number of requests since the last report, or of all recent
	// requests if the leader asked for them.
	Arrivals int
	Key      ModelKey
	// Priority is that of the most urgent waiting request. 0 is the most urgent one.
	Priority int
	// Running is the number of requests that were sent to runners.
	Running int
	// TimeLeft is how long the most pressing request can wait before it has to
	// start.
	TimeLeft Millis
	// Waiting is the number of requests that no runner can take yet.
	Waiting int
}

// ServerLoad is the number of requests in flight at a server.
type ServerLoad struct {
	// PromptTokens is the number of prompt tokens of the requests that the server has
	// not begun to answer.
	PromptTokens int
	Requests     int
	Server       RunnerID
}

// AttemptCounts counts the requests sent to a server by their outcome.
type AttemptCounts struct {
	// Failed is the number of attempts without a correct response.
	Failed int
	Served int
	Server RunnerID
}

// DemandReport is the report that each VM sends to the leader periodically.
type DemandReport struct {
	// Allotments is what the VM has used of callers' allotments.
	Allotments []AllotmentUse
	// Attempts counts the outcomes of the VM's requests since its last report.
	Attempts []AttemptCounts
	// Crashes is what the VM has learned of crashes since its last report.
	Crashes CrashEvidence
	// CrashesSeen is the version of the leader's evidence of crashes that the VM has
	// received last, or 0.
	CrashesSeen uint64
	Entries     []DemandEntry
	// Granted is set if a leader has granted the VM something of an allotment since its
	// process started: the fleet has not started again as a whole since then.
	Granted bool
	// Incarnation is that of the VM's process, from whose start Allotments count.
	Incarnation Incarnation
	// LeaderPosition is that of the last reply with grants that the VM has received, or 0 if
	// there was none or it had none.
	LeaderPosition int64
	// ListVersionTag is the version tag of the VM's list of servers, or 0 if it has
	// none.
	ListVersionTag uint64
	// Number rises with each report of the process, so that one that arrives late is
	// recognized.
	Number uint64
	// ServerLoads are the VM's requests in flight at servers.
	ServerLoads []ServerLoad
	// Waiting is set if any request waits for a server.
	Waiting bool
}

// RunnerModels lists the models on a runner as the leader knows them, which is
// newer than the platform's list.
type RunnerModels struct {
	Incarnation  Incarnation
	LoadedModels []LoadedModel
	Runner       RunnerID
	// Unloading lists the models that take no new requests: they are about to be
	// unloaded, or their other replicas should take them because another model needs the
	// runner's batch.
	Unloading []ModelID
}

// LoadEstimate predicts when a model or adapter that requests wait for is loaded.
type LoadEstimate struct {
	Key ModelKey
	// ReadyIn is the time until the load ends.
	ReadyIn Millis
}

// DemandReply is the leader's reply to a DemandReport.
type DemandReply struct {
	// Allotments is what the VM may use of callers' allotments.
	Allotments []AllotmentGrant
	// Crashes is what the leader has learned of crashes since the version that the VM
	// has received.
	Crashes CrashEvidence
	// FullSpeedLoads is the number of concurrent loads that the weight store serves
	// at full speed, as the leader has learned, or 0 if it does not know.
	FullSpeedLoads int
	// LeaderPosition is the position of the leader's record when it made the grants, negative
	// if the leader does not know yet what VMs hold, or 0 if no caller has an allotment.
	LeaderPosition int64
	// Leading is false if the VM that replies is not the leader.
	Leading bool
	// List says which version of the server list the leader has read last.
	List VersionNotice
	// ListChange is the difference between the VM's list and the leader's, or nil if
	// the leader cannot tell it.
	ListChange *ListChange
	// LoadEstimates covers the models and adapters that the VM's requests wait for.
	// Those without an entry are not being loaded.
	LoadEstimates []LoadEstimate
	// ReportingVMs is the number of VMs that report to the leader, or 0 if unknown.
	ReportingVMs int
	// Routing says which version of the configuration the leader has read last.
	Routing      VersionNotice
	RunnerModels []RunnerModels
	// ServerLoads are the requests of all other VMs in flight at servers.
	ServerLoads []ServerLoad
	// ShouldCampaign is set if the leader's own grant has ended without being
	// renewed and the VM is one of the few that should take part in the election.
	ShouldCampaign bool
	// Suspects are the servers that fail too many requests, over all VMs.
	Suspects []RunnerID
	// WantRecentArrivals is set if the leader does not know the VM's arrivals before
	// this report. The next report has to include all recent arrivals.
	WantRecentArrivals bool
}

// YieldReply is a former leader's reply to a request to stop giving orders.
type YieldReply struct {
	// GrantValid is set if the VM's own grant as a leader has not expired.
	GrantValid bool
	// SinceLastOrder is the time since the VM's last order to a runner, or
	// NeverOrdered.
	SinceLastOrder Millis
}

// NeverOrdered is the value of YieldReply.SinceLastOrder for a VM that has never
// given an order.
const NeverOrdered Millis = -1

// LeaderClient sends requests to the leader and to former leaders.
type LeaderClient interface {
	// Report sends the demand that vm sees to the leader at address.
	Report(ctx context.Context, address string, vm VMID, demand DemandReport) (DemandReply, error)
	// Yield asks the former leader at address to give no more orders with a fencing
	// token below fence.
	Yield(ctx context.Context, address string, fence int64) (YieldReply, error)
}

// DemandSource supplies the demand that this VM sees, and takes the leader's
// replies.
type DemandSource interface {
	// Demand returns the current demand. Arrivals count from the last call, or
	// include all recent ones if recent is set.
	Demand(ctx context.Context, recent bool) (DemandReport, error)
	// HandleNoLeader is called when no leader replies.
	HandleNoLeader(ctx context.Context) error
	// HandleReply applies a reply of the leader.
	HandleReply(ctx context.Context, reply DemandReply) error
	// WorkWaiting returns a channel that receives a value when a request begins to
	// wait.
	WorkWaiting() <-chan struct{}
}
