package buckthorndyke

import "github.com/cockroachdb/errors"

// Verdicts.
const (
	// MayHaveRun means that the request may have taken effect. It is the zero value,
	// so that an unknown outcome is never reported as not run.
	MayHaveRun Verdict = iota
	// NotRun means that the request has not run and will not run.
	NotRun
	// Ran means that the request ran to completion.
	Ran
)

// Verdict says whether a request has been executed, as far as is known.
type Verdict uint8

// RetryIsSafe reports whether a request that must not run twice can be retried.
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

// ParseVerdict returns the verdict with the given name. It returns MayHaveRun for an
// unknown name.
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

// VerdictOf returns the verdict of the first error in err's chain that has one. It
// returns MayHaveRun if none has, and Ran if err is nil.
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
