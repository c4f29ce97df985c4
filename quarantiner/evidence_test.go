package quarantiner_test

import (
	"strconv"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/quarantiner"
)

const (
	second = buckthorndyke.Second
	// fatal is the fingerprint of a request that crashes servers.
	fatal = buckthorndyke.Fingerprint("fatal")
	sound = buckthorndyke.Fingerprint("sound")
)

// crashOf returns the crash of the server with number n during requests.
func crashOf(n int, requests ...[]buckthorndyke.Fingerprint) buckthorndyke.Crash {
	return buckthorndyke.Crash{
		Lifetime: buckthorndyke.Lifetime{Incarnation: 1, Server: buckthorndyke.RunnerID(strconv.Itoa(n))}, Requests: requests,
	}
}

// req returns the fingerprints of a request.
func req(fingerprints ...buckthorndyke.Fingerprint) []buckthorndyke.Fingerprint { return fingerprints }

// assertQuarantined checks whether a request is quarantined.
func assertQuarantined(t *testing.T, e quarantiner.Evidence, now buckthorndyke.Millis, want bool, fingerprints ...buckthorndyke.Fingerprint) {
	t.Helper()
	_, got := e.Quarantined(fingerprints, now)
	asserter.Equal(t, got, want)
}

func TestEvidence(t *testing.T) {
	t.Run("a request that stands in three crashes is quarantined, for some time", func(t *testing.T) {
		e := quarantiner.New()
		for n := range 3 {
			assertQuarantined(t, e, 0, false, fatal)
			e = e.WithCrash(crashOf(n, req(fatal), req(buckthorndyke.Fingerprint(strconv.Itoa(n)))), 0)
		}
		assertQuarantined(t, e, 0, true, fatal)
		for n := range 3 {
			assertQuarantined(t, e, 0, false, buckthorndyke.Fingerprint(strconv.Itoa(n)))
		}
		assertQuarantined(t, e, 3600*second, false, fatal)
	})
	t.Run("what several VMs report of one crash counts once", func(t *testing.T) {
		e := quarantiner.New()
		for range 5 {
			e = e.WithCrash(crashOf(1, req(fatal)), 0).WithCrash(crashOf(2, req(fatal), req(sound)), 0)
		}
		asserter.Equal(t, e.Crashes(fatal), 2)
		assertQuarantined(t, e, 0, false, fatal)
	})
	t.Run("a request that was served before or after a crash has not caused it", func(t *testing.T) {
		e := quarantiner.New()
		for n := range 4 {
			now := buckthorndyke.Millis(n) * second
			e = e.WithCrash(crashOf(n, req(fatal), req(sound)), now).WithServed(sound, now+1)
		}
		assertQuarantined(t, e, 4*second, false, sound)
		assertQuarantined(t, e, 4*second, true, fatal)
	})
	t.Run("an answer that another VM saw ends a quarantine", func(t *testing.T) {
		e := quarantiner.New()
		for n := range 3 {
			e = e.WithCrash(crashOf(n, req(sound)), 0)
		}
		assertQuarantined(t, e, 0, true, sound)
		e = e.With(buckthorndyke.CrashEvidence{Served: []buckthorndyke.ServedFingerprint{{Age: second, Fingerprint: sound}}}, second)
		assertQuarantined(t, e, second, false, sound)
	})
	t.Run("a crash beside a quarantined request counts against no other", func(t *testing.T) {
		e := quarantiner.New()
		for n := range 3 {
			e = e.WithCrash(crashOf(n, req(fatal)), 0)
		}
		for n := range 4 {
			e = e.WithCrash(crashOf(10+n, req(fatal), req(sound)), 0)
		}
		assertQuarantined(t, e, 0, false, sound)
	})
	t.Run("two requests that stand in the same crashes are told apart by further ones", func(t *testing.T) {
		e := quarantiner.New()
		for n := range 4 {
			e = e.WithCrash(crashOf(n, req(fatal), req(sound)), 0)
		}
		assertQuarantined(t, e, 0, false, fatal)
		e = e.WithCrash(crashOf(4, req(fatal)), 0)
		assertQuarantined(t, e, 0, true, fatal)
		assertQuarantined(t, e, 0, false, sound)
	})
	t.Run("a crash alone weighs more", func(t *testing.T) {
		alone := crashOf(2, req(fatal))
		alone.Alone = true
		e := quarantiner.New().WithCrash(crashOf(1, req(fatal), req(sound)), 0).WithCrash(alone, 0)
		assertQuarantined(t, e, 0, true, fatal)
		assertQuarantined(t, e, 0, false, sound)
	})
}

// TestParts guards against requests of which no two are alike and that crash servers
// because of a part that they share, and against the refusal of what shares other parts.
func TestParts(t *testing.T) {
	crashWith := func(n int, parts ...buckthorndyke.Fingerprint) buckthorndyke.Crash {
		return crashOf(n, append(req(parts...), buckthorndyke.Fingerprint("content-"+strconv.Itoa(n))))
	}
	t.Run("the most specific part of all crashes is quarantined", func(t *testing.T) {
		e := quarantiner.New()
		for n := range 3 {
			e = e.WithCrash(crashWith(n, "system", "caller", fatal), 0)
		}
		assertQuarantined(t, e, 0, true, "system", "caller", fatal, "content-new")
		assertQuarantined(t, e, 0, false, "system", "caller", "session", "content-0")
	})
	t.Run("a part is quarantined whatever stands beside it", func(t *testing.T) {
		e := quarantiner.New().WithCrash(crashWith(0, "a", fatal, "b"), 0).WithCrash(crashWith(1, fatal), 0).
			WithCrash(crashWith(2, "c", "d", fatal), 0)
		assertQuarantined(t, e, 0, true, "x", fatal, "y")
		assertQuarantined(t, e, 0, false, "a", "b", "c", "d")
	})
	t.Run("of two parts that come in any order both are quarantined, later", func(t *testing.T) {
		e := quarantiner.New()
		for n := range 4 {
			parts := req(fatal, "other")
			if n%2 == 1 {
				parts = req("other", fatal)
			}
			e = e.WithCrash(crashWith(n, parts...), 0)
		}
		assertQuarantined(t, e, 0, false, fatal, "other")
		e = e.WithCrash(crashWith(4, fatal, "other"), 0)
		assertQuarantined(t, e, 0, true, fatal)
	})
	t.Run("parts that are answered elsewhere are not quarantined", func(t *testing.T) {
		e := quarantiner.New()
		for n := range 9 {
			e = e.WithCrash(crashWith(n, "system", "caller", buckthorndyke.Fingerprint("own-"+strconv.Itoa(n))), 0).WithServed("system", 1).WithServed("caller", 1)
		}
		assertQuarantined(t, e, 1, false, "system", "caller")
	})
	t.Run("a part that goes on crashing beside a quarantined one is quarantined as well", func(t *testing.T) {
		e := quarantiner.New()
		for n := range 3 {
			e = e.WithCrash(crashWith(n, fatal, "session"), 0)
		}
		assertQuarantined(t, e, 0, false, fatal, "other")
		for n := range 3 {
			e = e.WithCrash(crashWith(3+n, fatal), 0)
		}
		assertQuarantined(t, e, 0, true, fatal, "other")
	})
}

func TestSuspects(t *testing.T) {
	one, two := crashOf(1, req(sound)), crashOf(2, req(sound))
	e := quarantiner.New(quarantiner.WithServedWindow(0))
	t.Run("crashes while other requests run do not convict as early as one alone", func(t *testing.T) {
		assertQuarantined(t, e.WithCrash(one, 0).WithCrash(two, 0), 0, false, sound)
		two.Alone = true
		assertQuarantined(t, e.WithCrash(one, 0).WithCrash(two, 0), 0, true, sound)
	})
	t.Run("a suspect that is served is none", func(t *testing.T) {
		asserter.True(t, e.WithCrash(one, 0).Suspected(sound), "a request during a crash is no suspect")
		asserter.True(t, !e.WithCrash(one, 0).WithServed(sound, 1).Suspected(sound), "a request that was served is a suspect")
	})
	t.Run("without a window only an answer after the crash counts", func(t *testing.T) {
		served := e.WithCrash(one, 0).WithServed(sound, 1)
		asserter.True(t, served.WithCrash(two, 2).Suspected(sound), "an answer before a crash exonerates")
	})
}

func TestExchange(t *testing.T) {
	t.Run("VMs that each saw one crash decide alike", func(t *testing.T) {
		var vms []quarantiner.Evidence
		for n := range 3 {
			vms = append(vms, quarantiner.New().WithCrash(crashOf(n, req(fatal)), 0))
		}
		leader := quarantiner.New()
		for _, vm := range vms {
			leader = leader.With(vm.Since(0, second), second)
		}
		for _, vm := range vms {
			assertQuarantined(t, vm.With(leader.Since(0, 2*second), 2*second), 2*second, true, fatal)
		}
	})
	t.Run("only changes are passed on", func(t *testing.T) {
		e := quarantiner.New().WithCrash(crashOf(1, req(fatal)), 0)
		version := e.Since(0, 0).Version
		asserter.True(t, e.Since(version, 0).Empty(), "an unchanged evidence is passed on again")
		changes := e.WithCrash(crashOf(2, req(sound)), 0).Since(version, 0)
		asserter.Equal(t, len(changes.Crashes), 1)
		asserter.True(t, e.With(e.Since(0, 0), 0).Version() == version, "known evidence counts as a change")
	})
	t.Run("a quarantine outlasts the crashes and reaches a VM that starts later", func(t *testing.T) {
		e := quarantiner.New()
		for n := range 3 {
			e = e.WithCrash(crashOf(n, req(fatal)), 0)
		}
		late := 400 * second
		e = e.WithCrash(crashOf(9, req(sound)), late)
		asserter.Equal(t, e.Crashes(fatal), 0)
		assertQuarantined(t, quarantiner.New().With(e.Since(0, late), late), late, true, fatal)
	})
}

func TestLimits(t *testing.T) {
	t.Run("memory is bounded and the newest entries are kept", func(t *testing.T) {
		const many = 200
		e := quarantiner.New()
		for n := range many {
			var requests [][]buckthorndyke.Fingerprint
			for r := range 100 {
				long := make([]buckthorndyke.Fingerprint, 40)
				for i := range long {
					long[i] = buckthorndyke.Fingerprint(strconv.Itoa(n) + "/" + strconv.Itoa(r) + "/" + strconv.Itoa(i))
				}
				requests = append(requests, long)
			}
			if n < many-70 {
				requests = requests[:1]
			}
			e = e.WithCrash(crashOf(n, requests...), buckthorndyke.Millis(n))
		}
		kept := e.Since(0, many)
		asserter.True(t, len(kept.Crashes) <= 48, "too many crashes are kept")
		for _, c := range kept.Crashes {
			asserter.True(t, len(c.Requests) <= 32 && len(c.Requests[0]) <= 16, "too much is kept of a crash")
		}
		asserter.True(t, e.Suspected(buckthorndyke.Fingerprint(strconv.Itoa(many-1)+"/0/39")), "the newest crash is not kept")
	})
}
