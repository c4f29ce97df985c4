package configurer_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/buckthorndyke/buckthorndyke"
)

func assertEqual[V any](t *testing.T, got, want V) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("got other than wanted (-want +got):\n%s", diff)
	}
}

// assertFaults checks "line:column kind" of each fault, and that each says how
// to mend it.
func assertFaults(t *testing.T, err error, want ...string) {
	t.Helper()
	var faults *buckthorndyke.FaultsError
	if !errors.As(err, &faults) {
		t.Fatalf("got error %v, want faults", err)
	}
	var got []string
	for _, f := range faults.Faults() {
		got = append(got, fmt.Sprintf("%d:%d %s", f.Line, f.Column, f.Kind))
		if f.Cause == "" || f.Remedy == "" {
			t.Errorf("fault %v lacks a cause or a way to mend it", f)
		}
	}
	assertEqual(t, got, want)
}

func assertNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}
