// Package asserter provides the assertions used by the tests of all packages.
package asserter

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/buckthorndyke/buckthorndyke"
)

// pollInterval is the time between two checks by Eventually.
const pollInterval = 5 * time.Millisecond

// Code reports an error unless err is a refusal with the given code.
func Code(t testing.TB, err error, want buckthorndyke.Code) {
	t.Helper()
	Error(t, err)
	if got := buckthorndyke.RefusalOf(err).Code(); got != want {
		t.Errorf("got code %s, want %s: %v", got, want, err)
	}
}

// Contains reports an error if got does not contain part.
func Contains(t testing.TB, got, part string) {
	t.Helper()
	if !strings.Contains(got, part) {
		t.Errorf("%q does not contain %q", got, part)
	}
}

// Equal reports an error if got and want differ.
func Equal[V any](t testing.TB, got, want V) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("difference (-want +got):\n%s", diff)
	}
}

// Error stops the test if err is nil.
func Error(t testing.TB, err error) {
	t.Helper()
	if err == nil {
		t.Fatal("got no error")
	}
}

// Eventually reports an error if ok does not return true within limit. It polls, for
// effects of real sockets and other processes.
func Eventually(t testing.TB, limit time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if ok() {
			return
		}
	}
	t.Error("the condition was not met in time")
}

// NoError stops the test if err is not nil.
func NoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}

// NotContains reports an error if got contains part.
func NotContains(t testing.TB, got, part string) {
	t.Helper()
	if strings.Contains(got, part) {
		t.Errorf("%q contains %q", got, part)
	}
}

// Refused reports an error unless err is a refusal with the given code and
// verdict.
func Refused(t testing.TB, err error, code buckthorndyke.Code, verdict buckthorndyke.Verdict) {
	t.Helper()
	Error(t, err)
	r := buckthorndyke.RefusalOf(err)
	if r.Code() != code || r.Verdict() != verdict {
		t.Errorf("got %v, want %s (%s)", r, code, verdict)
	}
}

// True reports an error with the given description if ok is false.
func True(t testing.TB, ok bool, description string) {
	t.Helper()
	if !ok {
		t.Error(description)
	}
}

// Verdict reports an error unless err carries the given verdict.
func Verdict(t testing.TB, err error, want buckthorndyke.Verdict) {
	t.Helper()
	Error(t, err)
	if got := buckthorndyke.VerdictOf(err); got != want {
		t.Errorf("got verdict %s, want %s: %v", got, want, err)
	}
}
