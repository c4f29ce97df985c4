package selector_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

func TestUnread(t *testing.T) {
	a, b := runner("a", hall), runner("b", hall)
	v := withReads(a, b, 10, 10)
	q := selector.Query{Key: hallKey, Now: now, Target: 400, Tokens: 1000}
	first := func(v selector.View, id buckthorndyke.RunnerID, at buckthorndyke.Millis) buckthorndyke.Millis {
		listed, _ := v.List().Servers.Get(id)
		q := q
		q.Now = at
		e, ok := v.Expected(listed, q)
		asserter.True(t, ok, "nothing is expected")
		return e.First
	}
	told := []buckthorndyke.ServerLoad{{PromptTokens: 20_000, Requests: 3, Server: "a"}, {Requests: 3, Server: "b"}}
	t.Run("the own loads that are told carry the unread tokens", func(t *testing.T) {
		v := v.WithLoad("a", selector.Load{Requests: 1, Tokens: 700, Unread: 600})
		asserter.Equal(t, v.OwnLoads(), []buckthorndyke.ServerLoad{{PromptTokens: 600, Requests: 1, Server: "a"}})
		v = v.WithLoad("a", selector.Load{Unread: -600})
		asserter.Equal(t, v.OwnLoads(), []buckthorndyke.ServerLoad{{Requests: 1, Server: "a"}})
	})
	t.Run("the other VMs' unread tokens count, as an average of what the leader tells", func(t *testing.T) {
		before := first(v, "a", now)
		once := v.WithOtherVMsLoads(told, now)
		twice := once.WithOtherVMsLoads(told, now)
		asserter.True(t, first(once, "a", now) > before+500, "unread tokens of the other VMs do not count")
		asserter.True(t, first(twice, "a", now) > first(once, "a", now), "a later reply does not count")
		asserter.Equal(t, first(once, "b", now), before)
		asserter.True(t, share(twice, q, "b") > 90, "requests are sent behind 15,000 unread tokens")
	})
	t.Run("unread tokens expire with the leader's reply", func(t *testing.T) {
		asserter.Equal(t, first(v.WithOtherVMsLoads(told, now), "a", now+3*buckthorndyke.Second), first(v, "a", now+3*buckthorndyke.Second))
	})
	t.Run("what servers have read is forgotten within some replies", func(t *testing.T) {
		v := v.WithOtherVMsLoads(told, now)
		for range 12 {
			v = v.WithOtherVMsLoads([]buckthorndyke.ServerLoad{{Requests: 3, Server: "a"}}, now)
		}
		asserter.True(t, first(v, "a", now) < first(v, "b", now)+5, "old tokens still count")
	})
}

func TestTokenMemory(t *testing.T) {
	q := selector.Query{CacheTokens: 10_000, Key: hallKey, Now: now, OutputTokens: 100, Tokens: 3900}
	v := viewOf(runner("a", hall)).WithFleetSize(1)
	held := selector.Load{Held: 4000, Requests: 1}
	t.Run("requests in flight stay within the memory for tokens", func(t *testing.T) {
		v := v.WithLoad("a", held)
		assertChosen(t, v, q, "a")
		v = v.WithLoad("a", held)
		assertNone(t, v, q)
		assertChosen(t, v.WithLoad("a", held.Negative()), q, "a")
		small := q
		small.Tokens = 1000
		assertChosen(t, v, small, "a")
	})
	t.Run("the other VMs' requests are expected to be as large as the own ones", func(t *testing.T) {
		for range 300 {
			v = v.WithLoad("a", held).WithLoad("a", held.Negative())
		}
		full := []buckthorndyke.ServerLoad{{Requests: 2, Server: "a"}}
		assertNone(t, v.WithOtherVMsLoads(full, now), q)
		late := q
		late.Now += 3 * buckthorndyke.Second
		assertChosen(t, v.WithOtherVMsLoads(full, now), late, "a")
	})
	t.Run("a request that is larger than the memory fits nowhere", func(t *testing.T) {
		large := q
		large.Tokens = 9950
		asserter.True(t, !large.FitsMemory(), "a request with 10,050 tokens fits 10,000")
		asserter.True(t, q.FitsMemory(), "a request with 4,000 tokens does not fit 10,000")
	})
	t.Run("memory of an unknown size limits nothing", func(t *testing.T) {
		unknown := q
		unknown.CacheTokens = 0
		assertChosen(t, v.WithLoad("a", selector.Load{Held: 1 << 30, Requests: 1}), unknown, "a")
	})
}
