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
		t.Errorf("mismatch (-want +got):\n%s", diff)
	}
}

// assertFaults checks that err holds exactly the faults want, each given as
// "line:column kind", and that each has a cause and a remedy.
func assertFaults(t *testing.T, err error, want ...string) {
	t.Helper()
	var faults *buckthorndyke.FaultsError
	if !errors.As(err, &faults) {
		t.Fatalf("got error %v, want a *buckthorndyke.FaultsError", err)
	}
	var got []string
	for _, f := range faults.Faults() {
		got = append(got, fmt.Sprintf("%d:%d %s", f.Line, f.Column, f.Kind))
		if f.Cause == "" || f.Remedy == "" {
			t.Errorf("fault %v has no cause or no remedy", f)
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
