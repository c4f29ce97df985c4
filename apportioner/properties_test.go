package apportioner

import (
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

const (
	propertySeed = 11
	maxEvents    = 12
	eventKinds   = 12
	// cut and restartOfAll are kinds of events.
	cut          = 5
	restartOfAll = 9
	// maxCuts and cutKinds are those of sequences of cuts.
	maxCuts  = 6
	cutKinds = 8
)

// variants are faulty variants of the decisions, which the property has to catch.
var variants = map[string]variant{
	"a leader gives the shares of VMs that do not report to others at once": {
		ledger: func(l Ledger, _ buckthorndyke.VMID, _ []buckthorndyke.AllotmentGrant) Ledger {
			return l.withAccount(func(a account) account {
				a.pool += a.sums.silentShare
				for vm, h := range a.holders.All() {
					if h.silent {
						h.share = 0
						a.holders = a.holders.With(vm, h)
					}
				}
				a.sums.silentShare, a.sums.silentHeld = 0, 0
				return a
			})
		},
	},
	"a new leader begins with a full bucket": {
		term: func(l Ledger, now buckthorndyke.Millis) Ledger {
			l.since, l.settleTime = now-buckthorndyke.Hour, 0
			return l
		},
	},
	"a VM without a leader fills the whole allotment": {
		usage: func(u Usage) Usage {
			return u.with(simCaller, func(c *use) {
				if c.share > 0 {
					c.share = 1
				}
			})
		},
	},
	"a request that waits for a server counts as spent": {spentWhenAdmitted: true},
}

// cutVariants are those that cuts whose sides change bring out.
var cutVariants = map[string]variant{
	"VMs do not report which leader they had last": {
		report: func(r buckthorndyke.DemandReport) buckthorndyke.DemandReport {
			r.LeaderPosition = 0
			return r
		},
	},
	"VMs do not report their shares": {
		report: func(r buckthorndyke.DemandReport) buckthorndyke.DemandReport {
			for i := range r.Allotments {
				r.Allotments[i].Share = 0
			}
			return r
		},
	},
}

// withAccount returns the ledger with a changed account of the caller.
func (l Ledger) withAccount(change func(a account) account) Ledger {
	if a, ok := l.accounts.Get(simCaller); ok {
		l.accounts = l.accounts.With(simCaller, change(a))
	}
	return l
}

// play runs a fleet through the events that values stand for.
func play(seed uint64, values []int, v variant) *simulation {
	random := rand.New(rand.NewPCG(seed, 2))
	rate := []float64{5_000, 20_000, 60_000}[random.IntN(3)]
	b := buckthorndyke.AllotmentBounds{Overage: 0.1, Slack: []float64{0, 20_000, 110_000}[random.IntN(3)], Window: 8 * second}
	s := newSimulation(3+random.IntN(20), allotmentOf(rate), b, seed)
	s.variant = v
	load := s.poisson(rate, even)
	for _, value := range append([]int{0}, values...) {
		load = s.event(value, load)
		if value%eventKinds == restartOfAll || value == 0 {
			// A fleet that is cut in two while its first leader divides the shares is not
			// covered.
			s.run(5*second, load)
		}
		if value%eventKinds == cut {
			// The faults that a cut brings out take longer than a window.
			s.run(8*second, load)
		}
		s.run(second+buckthorndyke.Millis(value/eventKinds%6000), load)
	}
	return s
}

// event applies one event and returns the load from then on.
func (s *simulation) event(value int, load func(vm int)) func(vm int) {
	at := value / 7 % len(s.vms)
	wait := buckthorndyke.Millis(value / 11 % 5000)
	switch value % eventKinds {
	case 0, 1:
		// A flood through all VMs, or few.
		skew := value/eventKinds%2 == 0
		return s.poisson(6*s.allotment.PerSecond, func(vm int) float64 {
			if skew && vm%4 != at%4 {
				return 0.01
			}
			return 1
		})
	case 2:
		return s.poisson(0.5*s.allotment.PerSecond, even)
	case 3:
		s.start(at, wait)
	case 4:
		s.vms[at].frozenUntil = s.now + 9*wait
	case cut:
		for i := range s.vms {
			s.cut[i] = (i+at)%(2+value/eventKinds%2) == 0
		}
	case 6:
		clear(s.cut)
		s.storeDown = false
	case 7:
		s.storeDown = true
	case 8:
		for i, v := range s.vms {
			if s.now < v.leadsUntil {
				s.start(i, wait)
			}
		}
	case restartOfAll:
		for i := range s.vms {
			s.start(i, second+wait/2)
		}
	case 10:
		s.lossPermille = value / eventKinds % 3 * 150
		s.notRunPermille = value / eventKinds % 4 * 10
		until := s.now + 2*wait
		s.serverWait = func(r *rand.Rand) buckthorndyke.Millis {
			return max(until-s.now, buckthorndyke.Millis(r.IntN(50)))
		}
	case 11:
		s.setAllotment(allotmentOf(s.history[0].allotment.PerSecond * []float64{0.2, 1, 2}[value/eventKinds%3]))
	}
	return load
}

// playCuts runs a fleet under a flood through cuts whose sides change, and outages of the
// store, that values stand for. Many last longer than shares without a leader. No VM starts:
// one that starts alone on its side of a cut is not covered.
func playCuts(seed uint64, values []int, v variant) *simulation {
	random := rand.New(rand.NewPCG(seed, 3))
	rate := []float64{5_000, 20_000, 60_000}[random.IntN(3)]
	b := buckthorndyke.AllotmentBounds{Overage: 0.1, Slack: []float64{0, 20_000, 110_000}[random.IntN(3)], Window: 8 * second}
	s := newSimulation(3+random.IntN(20), allotmentOf(rate), b, seed)
	s.variant = v
	load := s.poisson(3*rate, even)
	s.run(6*second, load)
	for _, value := range values {
		switch value % cutKinds {
		case 0, 1, 2:
			for i := range s.vms {
				s.cut[i] = random.IntN(2) == 0
			}
		case 3, 4:
			s.swapSides()
		case 5:
			s.storeDown = !s.storeDown
		case 6:
			clear(s.cut)
			s.storeDown = false
		case 7:
			s.lossPermille = value / cutKinds % 3 * 150
		}
		s.run(second+buckthorndyke.Millis(value/cutKinds%45_000), load)
	}
	return s
}

// newProperty returns the property that no window exceeds the bound.
func newProperty(v variant, report func(excess float64)) gopter.Prop {
	return propertyOf(play, maxEvents, v, report)
}

// newCutsProperty is newProperty for cuts whose sides change.
func newCutsProperty(v variant, report func(excess float64)) gopter.Prop {
	return propertyOf(playCuts, maxCuts, v, report)
}

func propertyOf(
	play func(seed uint64, values []int, v variant) *simulation, events int, v variant, report func(excess float64),
) gopter.Prop {
	return prop.ForAll(func(seed uint64, values []int) bool {
		excess := play(seed, values, v).excess()
		report(excess)
		return excess <= 0
	}, gen.UInt64(), gen.SliceOfN(events, gen.IntRange(0, 1<<20)))
}

// TestBound guards against sequences of faults, restarts and floods after which all VMs
// together send more of a caller's requests than the bound allows in a window.
func TestBound(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 60
	parameters.MaxShrinkCount = 0
	t.Run("no window exceeds the bound", func(t *testing.T) {
		worst := -1.0
		properties := gopter.NewProperties(parameters)
		properties.Property("bound", newProperty(variant{}, func(excess float64) { worst = max(worst, excess) }))
		properties.TestingRun(t)
		t.Logf("the worst window uses %.3f of the bound", 1+worst)
	})
	// These sequences take longer than the others.
	parameters.MinSuccessfulTests = 15
	t.Run("no window exceeds the bound when the sides of cuts change", func(t *testing.T) {
		worst := -1.0
		properties := gopter.NewProperties(parameters)
		properties.Property("bound", newCutsProperty(variant{}, func(excess float64) { worst = max(worst, excess) }))
		properties.TestingRun(t)
		t.Logf("the worst window uses %.3f of the bound", 1+worst)
	})
	parameters.MinSuccessfulTests = 50
	for name, v := range cutVariants {
		t.Run("the property of cuts catches that "+name, func(t *testing.T) {
			result := newCutsProperty(v, func(float64) {}).Check(parameters)
			asserter.True(t, !result.Passed(), "the property holds for a faulty variant")
		})
	}
	parameters.MinSuccessfulTests = 150
	for name, v := range variants {
		t.Run("the property catches that "+name, func(t *testing.T) {
			result := newProperty(v, func(float64) {}).Check(parameters)
			asserter.True(t, !result.Passed(), "the property holds for a faulty variant")
		})
	}
}
