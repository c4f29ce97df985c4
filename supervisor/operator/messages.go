package operator

import "github.com/buckthorndyke/buckthorndyke"

// Paths of the operator interface.
const (
	PathAudit    = "/audit"
	PathDrain    = "/drain"
	PathLive     = "/livez"
	PathMetrics  = "/metrics"
	PathRules    = "/rules"
	PathStatus   = "/status"
	PathVersions = "/rules/versions"
)

// ParameterLimit is the query parameter of GET /audit with the maximum number of
// entries.
const ParameterLimit = "limit"

// ApplyMessage is the request body of POST /rules. See ApplyRequest.
type ApplyMessage struct {
	Base buckthorndyke.Offset `json:"base"`
	By   string               `json:"by"`
	Text string               `json:"text"`
}

// ApplyResponse is the response body of POST /rules. See ApplyResult.
type ApplyResponse struct {
	Accepted       bool                 `json:"accepted"`
	AlreadyInForce bool                 `json:"already-in-force,omitempty"`
	Reason         string               `json:"reason,omitempty"`
	Version        buckthorndyke.Offset `json:"version"`
	Winner         *AuditItem           `json:"winner,omitempty"`
}

// AuditResponse is the response body of GET /audit.
type AuditResponse struct {
	Entries []AuditItem `json:"entries"`
}

// AuditItem describes one attempt to change the rules.
type AuditItem struct {
	Accepted bool `json:"accepted"`
	// At is in milliseconds since the Unix epoch, by the log service's clock.
	At     buckthorndyke.Millis `json:"at-ms"`
	Base   buckthorndyke.Offset `json:"base"`
	By     string               `json:"by"`
	Diff   []string             `json:"difference"`
	Offset buckthorndyke.Offset `json:"offset"`
	Reason string               `json:"reason,omitempty"`
}

// DrainResponse is the response body of POST /drain.
type DrainResponse struct {
	Draining bool `json:"draining"`
}

// ErrorResponse is the response body that reports a refusal.
type ErrorResponse struct {
	Error  ErrorDetail `json:"error"`
	Faults []FaultItem `json:"faults,omitempty"`
}

// ErrorDetail describes a refusal.
type ErrorDetail struct {
	Code    buckthorndyke.Code `json:"code"`
	Message string             `json:"message"`
	Verdict string             `json:"verdict"`
}

// FaultItem describes one fault in the rules.
type FaultItem struct {
	Cause  string                  `json:"cause"`
	Column int                     `json:"column"`
	Kind   buckthorndyke.FaultKind `json:"kind"`
	Line   int                     `json:"line"`
	Remedy string                  `json:"mend"`
}

// MemberItem describes an entry VM that has joined the fleet.
type MemberItem struct {
	Domain      buckthorndyke.DomainID    `json:"failure-domain"`
	Incarnation buckthorndyke.Incarnation `json:"incarnation"`
	Leaving     bool                      `json:"leaving"`
	PeerAddress string                    `json:"peer-address"`
	VM          buckthorndyke.VMID        `json:"vm"`
}

// PlacementItem describes the placement of a model.
type PlacementItem struct {
	Model buckthorndyke.ModelID `json:"model"`
	// Runners may load the model.
	Runners []buckthorndyke.RunnerID `json:"runners"`
	// Withdrawn lists the runners whose permission has been withdrawn.
	Withdrawn []buckthorndyke.RunnerID `json:"withdrawn"`
}

// RulesResponse is the response body of GET /rules.
type RulesResponse struct {
	Text    string               `json:"text"`
	Version buckthorndyke.Offset `json:"version"`
}

// RunnerItem describes a runner and its owner.
type RunnerItem struct {
	Address            string                 `json:"address"`
	ChecksFencingToken bool                   `json:"checks-fence"`
	Domain             buckthorndyke.DomainID `json:"failure-domain"`
	Epoch              buckthorndyke.Offset   `json:"epoch"`
	Owner              buckthorndyke.VMID     `json:"owner"`
	Runner             buckthorndyke.RunnerID `json:"runner"`
}

// CallerItem is a caller in the rules in force, without its token.
type CallerItem struct {
	Caller buckthorndyke.CallerID `json:"caller"`
	Rank   string                 `json:"rank"`
}

// StatusResponse is the response body of GET /status.
type StatusResponse struct {
	Callers        []CallerItem         `json:"callers"`
	CaughtUp       bool                 `json:"at-tail"`
	LogDown        bool                 `json:"log-down"`
	Members        []MemberItem         `json:"members"`
	Offset         buckthorndyke.Offset `json:"offset"`
	Placements     []PlacementItem      `json:"placements"`
	RulesVersion   buckthorndyke.Offset `json:"rules-version"`
	Runners        []RunnerItem         `json:"runners"`
	UnknownRecords int                  `json:"unknown-records"`
	VMs            []VMItem             `json:"vms"`
}

// VersionsResponse is the response body of GET /rules/versions.
type VersionsResponse struct {
	VMs []VMItem `json:"vms"`
}

// VMItem is the version of the rules in force on one live entry VM.
type VMItem struct {
	// Error is set if the VM did not report its version.
	Error        string               `json:"error,omitempty"`
	RulesVersion buckthorndyke.Offset `json:"rules-version"`
	VM           buckthorndyke.VMID   `json:"vm"`
}
