package buckthorndyke

import (
	"strconv"
	"strings"
)

// Identifiers. Each is an opaque string that is only compared for equality.
type (
	// CallerID names a caller in the rules.
	CallerID string
	// DomainID names a failure domain.
	DomainID string
	// Fingerprint is a digest of the content of a request, which recognizes a
	// request that is sent again.
	Fingerprint string
	// JobID identifies one attempt to serve a request on one runner.
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

// jobSeparator separates the request from the attempt in a JobID.
const jobSeparator = "/"

// JobIDOf returns the ID of one attempt to serve a request. It lets the owner of a
// runner match the jobs in the runner's status to its own tickets.
func JobIDOf(request RequestID, attempt string) JobID {
	return JobID(string(request) + jobSeparator + attempt)
}

// Request returns the request that j is an attempt to serve.
func (j JobID) Request() RequestID {
	at := strings.LastIndex(string(j), jobSeparator)
	if at < 0 {
		return RequestID(j)
	}
	return RequestID(j[:at])
}

// Incarnation identifies one run of a process. It is higher after each restart.
type Incarnation uint64

// String returns i in decimal.
func (i Incarnation) String() string {
	return strconv.FormatUint(uint64(i), 10)
}

// NoOffset is the offset before the first record of a stream. It stands for no
// record.
const NoOffset Offset = 0

// Offset is the position of a record in a stream of the log service. The first
// record has offset 1. Offsets of accepted records also serve as versions and as
// fencing tokens.
type Offset uint64

// String returns o in decimal.
func (o Offset) String() string {
	return strconv.FormatUint(uint64(o), 10)
}
