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

// ParameterLimit bounds the entries of an audit answer.
const ParameterLimit = "limit"

// ApplyMessage is the body of POST /rules.
type ApplyMessage struct {
	Base buckthorndyke.Offset `json:"base"`
	By   string               `json:"by"`
	Text string               `json:"text"`
}

// ApplyResponse is the answer to POST /rules.
type ApplyResponse struct {
	Accepted       bool                 `json:"accepted"`
	AlreadyInForce bool                 `json:"already-in-force,omitempty"`
	Reason         string               `json:"reason,omitempty"`
	Version        buckthorndyke.Offset `json:"version"`
	Winner         *AuditItem           `json:"winner,omitempty"`
}

// AuditResponse is the answer to GET /audit.
type AuditResponse struct {
	Entries []AuditItem `json:"entries"`
}

// AuditItem is one attempt to change the rules.
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

// DrainResponse is the answer to POST /drain.
type DrainResponse struct {
	Draining bool `json:"draining"`
}

// ErrorResponse reports a refusal.
type ErrorResponse struct {
	Error  ErrorDetail `json:"error"`
	Faults []FaultItem `json:"faults,omitempty"`
}

// ErrorDetail is a refusal.
type ErrorDetail struct {
	Code    buckthorndyke.Code `json:"code"`
	Message string             `json:"message"`
	Verdict string             `json:"verdict"`
}

// FaultItem is one fault in the rules.
type FaultItem struct {
	Cause  string                  `json:"cause"`
	Column int                     `json:"column"`
	Kind   buckthorndyke.FaultKind `json:"kind"`
	Line   int                     `json:"line"`
	Remedy string                  `json:"mend"`
}

// MemberItem is an entry VM that has joined.
type MemberItem struct {
	Domain      buckthorndyke.DomainID    `json:"failure-domain"`
	Incarnation buckthorndyke.Incarnation `json:"incarnation"`
	Leaving     bool                      `json:"leaving"`
	PeerAddress string                    `json:"peer-address"`
	VM          buckthorndyke.VMID        `json:"vm"`
}

// PlacementItem is the set of runners that may hold a model.
type PlacementItem struct {
	Model     buckthorndyke.ModelID    `json:"model"`
	Runners   []buckthorndyke.RunnerID `json:"runners"`
	Withdrawn []buckthorndyke.RunnerID `json:"withdrawn"`
}

// RulesResponse is the answer to GET /rules.
type RulesResponse struct {
	Text    string               `json:"text"`
	Version buckthorndyke.Offset `json:"version"`
}

// RunnerItem is a runner with its owner.
type RunnerItem struct {
	Address            string                 `json:"address"`
	ChecksFencingToken bool                   `json:"checks-fence"`
	Domain             buckthorndyke.DomainID `json:"failure-domain"`
	Epoch              buckthorndyke.Offset   `json:"epoch"`
	Owner              buckthorndyke.VMID     `json:"owner"`
	Runner             buckthorndyke.RunnerID `json:"runner"`
}

// StatusResponse is the answer to GET /status.
type StatusResponse struct {
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

// VersionsResponse is the answer to GET /rules/versions.
type VersionsResponse struct {
	VMs []VMItem `json:"vms"`
}

// VMItem is the version of the rules in force on one live VM.
type VMItem struct {
	Error        string               `json:"error,omitempty"`
	RulesVersion buckthorndyke.Offset `json:"rules-version"`
	VM           buckthorndyke.VMID   `json:"vm"`
}
