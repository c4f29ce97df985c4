package authenticator_test

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/authenticator"
)

// callerOf returns callers of which one, called id, holds n keys.
func callerOf(id buckthorndyke.CallerID, n int) buckthorndyke.Callers {
	caller := buckthorndyke.Caller{ID: id}
	for i := range n {
		caller.Keys = append(caller.Keys, buckthorndyke.DigestKey(fmt.Sprintf("%s-%d", id, i)))
	}
	return buckthorndyke.CallersOf([]buckthorndyke.Caller{caller})
}

// TestFormerKeys guards against a refusal after the rotation of a key that cannot be traced to
// its caller, and against memory that grows with each rotation.
func TestFormerKeys(t *testing.T) {
	assertHolder := func(t *testing.T, f authenticator.FormerKeys, key string, want authenticator.FormerHolder) {
		t.Helper()
		got, _ := f.HolderOf(buckthorndyke.NewCredential(key))
		asserter.Equal(t, got, want)
	}
	t.Run("a key that was removed names its last holder", func(t *testing.T) {
		f := authenticator.FormerKeys{}.WithChange(callerOf("a", 3), callerOf("a", 1), 7).WithChange(callerOf("a", 1), callerOf("b", 1), 8)
		assertHolder(t, f, "a-2", authenticator.FormerHolder{Caller: "a", Version: 7})
		assertHolder(t, f, "a-0", authenticator.FormerHolder{Caller: "a", Version: 8})
		assertHolder(t, f, "b-0", authenticator.FormerHolder{})
		assertHolder(t, f, "", authenticator.FormerHolder{})
	})
	t.Run("the number of keys is bounded, and the newest remain", func(t *testing.T) {
		f := authenticator.FormerKeys{}.WithChange(callerOf("a", 4000), buckthorndyke.NewCallers(), 7).
			WithChange(callerOf("b", 4000), buckthorndyke.NewCallers(), 8)
		assertHolder(t, f, "a-1", authenticator.FormerHolder{})
		assertHolder(t, f, "b-3999", authenticator.FormerHolder{Caller: "b", Version: 8})
	})
}
