package buckthorndyke

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Codes of refusals and failures. They are part of the caller interface and must
// not change.
const (
	CodeAllotmentExceeded  Code = "allotment-exceeded"
	CodeAllotmentUnknown   Code = "allotment-unknown"
	CodeBadRequest         Code = "bad-request"
	CodeCallerGone         Code = "caller-gone"
	CodeClaimUnavailable   Code = "claim-unavailable"
	CodeCrashSuspect       Code = "crash-suspect"
	CodeDeadline           Code = "deadline"
	CodeDraining           Code = "draining"
	CodeDuplicate          Code = "duplicate"
	CodeEngineFailed       Code = "engine-failed"
	CodeForbidden          Code = "forbidden"
	CodeInternal           Code = "internal"
	CodeKeyExpired         Code = "key-expired"
	CodeKeyInvalid         Code = "key-invalid"
	CodeKeyReused          Code = "key-reused"
	CodeLogUnavailable     Code = "log-unavailable"
	CodeMemoryShort        Code = "memory-short"
	CodeModelUnknown       Code = "model-unknown"
	CodeNotOwner           Code = "not-owner"
	CodeNotReady           Code = "not-ready"
	CodeOverloaded         Code = "overloaded"
	CodePreempted          Code = "preempted"
	CodeQuarantined        Code = "quarantined"
	CodeRunnerUnavailable  Code = "runner-unavailable"
	CodeServiceUnavailable Code = "service-unavailable"
	CodeServiceUnknown     Code = "service-unknown"
	CodeStale              Code = "stale"
	CodeTooLarge           Code = "too-large"
	CodeUnauthenticated    Code = "unauthenticated"
)

// Code is the kebab-case name of a reason for a refusal or failure.
type Code string

// RefusalError is the error of a request that was refused or failed. Its verdict
// says whether the request may have run.
type RefusalError struct {
	code       Code
	message    string
	retryAfter Millis
	verdict    Verdict
}

// ErrStopping means that a VM serves no more requests because it is stopping. Others do.
var ErrStopping = NewRefusal(CodeDraining, NotRun, "the VM is stopping").WithRetryAfter(100 * Millisecond)

// NewRefusal returns a refusal with the given code, verdict and message.
func NewRefusal(code Code, verdict Verdict, message string) *RefusalError {
	return &RefusalError{code: code, message: message, verdict: verdict}
}

// Code returns the code of the reason.
func (r *RefusalError) Code() Code { return r.code }

// Error implements error.
func (r *RefusalError) Error() string {
	return fmt.Sprintf("%s: %s (%s)", r.code, r.message, r.verdict)
}

// Message returns a description of the reason.
func (r *RefusalError) Message() string { return r.message }

// RetryAfter returns how long the caller should wait before it retries, or 0 if
// unknown.
func (r *RefusalError) RetryAfter() Millis { return r.retryAfter }

// Verdict says whether the request may have run.
func (r *RefusalError) Verdict() Verdict { return r.verdict }

// WithRetryAfter returns a copy of r that asks the caller to retry after d.
func (r *RefusalError) WithRetryAfter(d Millis) *RefusalError {
	next := *r
	next.retryAfter = d
	return &next
}

// WithVerdict returns a copy of r with verdict v.
func (r *RefusalError) WithVerdict(v Verdict) *RefusalError {
	next := *r
	next.verdict = v
	return &next
}

// RefusalOf returns the refusal in err's chain. For any other error it returns a
// refusal with CodeInternal and the verdict of err.
func RefusalOf(err error) *RefusalError {
	var r *RefusalError
	if errors.As(err, &r) {
		return r
	}
	return NewRefusal(CodeInternal, VerdictOf(err), err.Error())
}
