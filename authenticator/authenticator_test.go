package authenticator_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/authenticator"
)

const now = 100 * buckthorndyke.Second

// callers returns callers a and b, which hold the keys key-a and key-b.
func callers() buckthorndyke.Callers {
	caller := func(id buckthorndyke.CallerID) buckthorndyke.Caller {
		return buckthorndyke.Caller{ID: id, Keys: []buckthorndyke.KeyDigest{buckthorndyke.DigestKey("key-" + string(id))}}
	}
	return buckthorndyke.CallersOf([]buckthorndyke.Caller{caller("a"), caller("b")})
}

// assertIdentity reports an error unless the client with key is identified as wanted.
func assertIdentity(t *testing.T, k authenticator.Knowledge, key string, public bool, want authenticator.Outcome, caller buckthorndyke.CallerID) {
	t.Helper()
	got := k.Identify(buckthorndyke.NewCredential(key), public, now)
	asserter.Equal(t, got.Outcome, want)
	asserter.Equal(t, got.Caller.ID, caller)
}

func TestIdentify(t *testing.T) {
	confirmed := authenticator.Knowledge{Callers: callers(), ConfirmedAt: now - authenticator.MaxAge}
	outdated := authenticator.Knowledge{Callers: callers(), ConfirmedAt: now - authenticator.MaxAge - 1}
	t.Run("a key names its holder, however old the configuration is", func(t *testing.T) {
		assertIdentity(t, confirmed, "key-a", false, authenticator.Known, "a")
		assertIdentity(t, outdated, "key-b", false, authenticator.Known, "b")
	})
	t.Run("an unknown key or none is refused only by a confirmed version", func(t *testing.T) {
		for _, key := range []string{"other", "KEY-A", "key-a ", ""} {
			assertIdentity(t, confirmed, key, false, authenticator.Unknown, "")
			assertIdentity(t, outdated, key, false, authenticator.Unconfirmed, "")
			assertIdentity(t, authenticator.Knowledge{Callers: callers()}, key, false, authenticator.Unconfirmed, "")
		}
	})
	t.Run("a public route needs no key, but a known one names its holder", func(t *testing.T) {
		assertIdentity(t, outdated, "other", true, authenticator.Nameless, "")
		assertIdentity(t, outdated, "", true, authenticator.Nameless, "")
		assertIdentity(t, outdated, "key-a", true, authenticator.Known, "a")
	})
	t.Run("nothing is checked without callers, but an empty list has no holder", func(t *testing.T) {
		assertIdentity(t, authenticator.Knowledge{ConfirmedAt: now}, "key-a", false, authenticator.Unchecked, "")
		assertIdentity(t, authenticator.Knowledge{Callers: buckthorndyke.NewCallers(), ConfirmedAt: now}, "key-a", false, authenticator.Unknown, "")
	})
	t.Run("no key is not the empty key", func(t *testing.T) {
		k := authenticator.Knowledge{Callers: buckthorndyke.NewCallers().WithCaller(buckthorndyke.Caller{
			ID: "a", Keys: []buckthorndyke.KeyDigest{buckthorndyke.DigestKey("")},
		}), ConfirmedAt: now}
		assertIdentity(t, k, "", false, authenticator.Unknown, "")
	})
}
