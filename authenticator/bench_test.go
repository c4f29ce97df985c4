package authenticator_test

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/authenticator"
)

// benchCallers returns callers with n keys in all, two for each.
func benchCallers(n int) buckthorndyke.Callers {
	list := make([]buckthorndyke.Caller, n/2)
	for i := range list {
		list[i].ID = buckthorndyke.CallerID(fmt.Sprintf("caller-%d", i))
		for k := range 2 {
			list[i].Keys = append(list[i].Keys, buckthorndyke.DigestKey(fmt.Sprintf("key-%d-%d", i, k)))
		}
	}
	return buckthorndyke.CallersOf(list)
}

// BenchmarkIdentify measures the check of one request, from the field of its header.
func BenchmarkIdentify(b *testing.B) {
	for _, keys := range []int{16, 10_000} {
		callers := benchCallers(keys)
		for name, field := range map[string]string{"known": fmt.Sprintf("Bearer key-%d-1", keys/2-1), "unknown": "Bearer other"} {
			b.Run(fmt.Sprintf("%d-keys/%s", keys, name), func(b *testing.B) {
				b.ReportAllocs()
				knowledge := authenticator.Knowledge{Callers: callers, ConfirmedAt: now}
				values := []string{field}
				for b.Loop() {
					credential := buckthorndyke.NewCredential(authenticator.BearerKey(values))
					knowledge.Identify(credential, false, now)
				}
			})
		}
	}
}

// BenchmarkFormerKeys measures a new configuration in which all of 10,000 keys are replaced.
func BenchmarkFormerKeys(b *testing.B) {
	old, next := benchCallers(10_000), callerOf("a", 10_000)
	b.ReportAllocs()
	for b.Loop() {
		authenticator.FormerKeys{}.WithChange(old, next, 2)
	}
}
