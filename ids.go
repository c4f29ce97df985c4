package buckthorndyke

import (
	"strconv"
	"strings"
)

// Identifiers. Each is opaque text that is compared for equality only.
type (
	// CallerID names a caller in the rules.
	CallerID string
	// DomainID names a failure domain.
	DomainID string
	// Fingerprint identifies the content of a request, so that a request that
	// is sent again can be recognized.
	Fingerprint string
	// JobID identifies one attempt of a request on one runner.
	JobID string
	// ModelID names a model or an adapter in the rules.
	ModelID string
	// OrderID identifies an order to a runner.
	OrderID string
	// ProposalID identifies a proposal in the control stream.
	ProposalID string
	// RequestID identifies a caller's request.
	RequestID string
	// RunnerID names a runner.
	RunnerID string
	// ServiceID names a plain service.
	ServiceID string
	// VMID names a VM, whatever its role.
	VMID string
)

// jobSeparator stands between the request and the attempt in a JobID.
const jobSeparator = "/"

// JobIDOf returns the id of one attempt of a request. An owner recognizes by it
// the jobs of its own tickets in a runner's status.
func JobIDOf(request RequestID, attempt string) JobID {
	return JobID(string(request) + jobSeparator + attempt)
}

// Request returns the request that j is an attempt of.
func (j JobID) Request() RequestID {
	at := strings.LastIndex(string(j), jobSeparator)
	if at < 0 {
		return RequestID(j)
	}
	return RequestID(j[:at])
}

// Incarnation tells two lives of one VM's process apart. A later life has the
// higher number.
type Incarnation uint64

// String returns i in decimal.
func (i Incarnation) String() string {
	return strconv.FormatUint(uint64(i), 10)
}

// NoOffset is the offset before the first record of a stream.
const NoOffset Offset = 0

// Offset is the position of a record in a stream of the log service. The first
// record has offset 1. Accepted offsets also serve as versions and as fencing
// numbers.
type Offset uint64

// String returns o in decimal.
func (o Offset) String() string {
	return strconv.FormatUint(uint64(o), 10)
}
