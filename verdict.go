package buckthorndyke

import "github.com/cockroachdb/errors"

// Verdicts.
const (
	// MayHaveRun means that the request may have had its effect. It is the zero
	// value: what is not known is never reported as not run.
	MayHaveRun Verdict = iota
	// NotRun means that the request has not run and will not run.
	NotRun
	// Ran means that the request ran to its end.
	Ran
)

// Verdict says what is known of a request's execution.
type Verdict uint8

// RetryIsSafe reports whether a request that must not run twice can be sent
// again.
func (v Verdict) RetryIsSafe() bool {
	return v == NotRun
}

// String returns the verdict's name on the wire.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// ParseVerdict returns the verdict called name. An unknown name is MayHaveRun.
func ParseVerdict(name string) Verdict {
	switch name {
	case NotRun.String():
		return NotRun
	case Ran.String():
		return Ran
	default:
		return MayHaveRun
	}
}

// VerdictOf returns the verdict that err carries. An error that carries none is
// MayHaveRun; no error is Ran.
func VerdictOf(err error) Verdict {
	if err == nil {
		return Ran
	}
	var carrier interface{ Verdict() Verdict }
	if errors.As(err, &carrier) {
		return carrier.Verdict()
	}
	return MayHaveRun
}
