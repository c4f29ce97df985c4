package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

const propertySeed = 20261204

func TestDesired(t *testing.T) {
	t.Run("runners without enough memory are excluded", func(t *testing.T) {
		runners := []placer.Runner{{ID: "small", MemoryMB: 9}, {ID: "large", MemoryMB: 10}}
		got := placer.Desired(buckthorndyke.ModelRule{ID: "m", MemoryMB: 10, Replicas: 2}, runners)
		asserter.Equal(t, got, []buckthorndyke.RunnerID{"large"})
	})
	t.Run("the number of replicas does not exceed the maximum", func(t *testing.T) {
		assertHolds(t, func(r *rand.Rand) bool {
			rule, runners := ruleAndRunners(r)
			return len(placer.Desired(rule, runners)) <= rule.Replicas
		})
	})
	t.Run("replicas are spread over failure domains", func(t *testing.T) {
		assertHolds(t, spreadsEvenly(placer.Desired))
		assertFails(t, spreadsEvenly(func(m buckthorndyke.ModelRule, runners []placer.Runner) []buckthorndyke.RunnerID {
			for i := range runners {
				runners[i].Domain = "one"
			}
			return placer.Desired(m, runners)
		}))
	})
	t.Run("a runner that joins or leaves moves at most its own replicas", func(t *testing.T) {
		assertHolds(t, movesFewReplicas(placer.Desired))
		assertFails(t, movesFewReplicas(placeByModulo))
	})
}

func TestPlacementDiff(t *testing.T) {
	permitted := func(runners ...buckthorndyke.RunnerID) buckthorndyke.Placement {
		p := buckthorndyke.Placement{Model: "m", Version: 9}
		for _, r := range runners {
			p = p.WithSlot(buckthorndyke.ReplicaSlot{Runner: r})
		}
		return p
	}
	withdrawn := func(p buckthorndyke.Placement, r buckthorndyke.RunnerID) buckthorndyke.Placement {
		return p.WithSlot(buckthorndyke.ReplicaSlot{Runner: r, Withdrawn: true})
	}
	desired := []buckthorndyke.RunnerID{"a", "b"}
	for _, tc := range []struct {
		name string
		diff placer.PlacementDiff
		want buckthorndyke.Change
	}{
		{
			"a new model gets its slots immediately",
			placer.PlacementDiff{Desired: desired, Replicas: 2},
			buckthorndyke.PermitChange{Model: "m", Runners: desired},
		},
		{"a complete placement needs no change", placer.PlacementDiff{Desired: desired, Placement: permitted("a", "b"), Replicas: 2}, nil},
		{"a better runner moves no slot before a move is allowed", placer.PlacementDiff{Desired: desired, Placement: permitted("a", "c"), Replicas: 2}, nil},
		{
			"an allowed move withdraws one slot",
			placer.PlacementDiff{Desired: desired, Placement: permitted("c", "d"), Replicas: 2, MoveAllowed: true},
			buckthorndyke.WithdrawChange{Base: 9, Model: "m", Runner: "c"},
		},
		{
			"a move waits until a withdrawn slot is free",
			placer.PlacementDiff{Desired: desired, Placement: withdrawn(permitted("d"), "c"), Replicas: 2, MoveAllowed: true},
			nil,
		},
		{
			"an unused replica gets a slot without a move",
			placer.PlacementDiff{Desired: desired, Placement: permitted("c"), Replicas: 2, MoveAllowed: true},
			buckthorndyke.PermitChange{Base: 9, Model: "m", Runners: []buckthorndyke.RunnerID{"a"}},
		},
		{
			"a lower maximum withdraws the least preferred slot",
			placer.PlacementDiff{Desired: desired[:1], Placement: permitted("a", "b"), Replicas: 1},
			buckthorndyke.WithdrawChange{Base: 9, Model: "m", Runner: "b"},
		},
		{
			"a lower maximum withdraws no slot while enough slots are being withdrawn",
			placer.PlacementDiff{Desired: desired[:1], Placement: withdrawn(permitted("a"), "b"), Replicas: 1},
			nil,
		},
		{
			"the slots of a model that is not in the rules are withdrawn",
			placer.PlacementDiff{Placement: permitted("a")},
			buckthorndyke.WithdrawChange{Base: 9, Model: "m", Runner: "a"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.diff.Model = "m"
			got, _ := tc.diff.Next()
			asserter.Equal(t, got, tc.want)
		})
	}
}

func TestSuccessors(t *testing.T) {
	members := membersOf(9, 3)
	owner := members[0]
	t.Run("the owner is excluded and one successor is in another failure domain", func(t *testing.T) {
		for i := range 50 {
			runner := buckthorndyke.RunnerID(fmt.Sprint("r", i))
			got := placer.Successors(runner, owner.VM, members, 2)
			asserter.Equal(t, len(got), 2)
			outside := slices.ContainsFunc(members, func(m buckthorndyke.Member) bool {
				return m.Domain != owner.Domain && slices.Contains(got, m.VM)
			})
			asserter.True(t, outside && !slices.Contains(got, owner.VM), "the owner is a successor, or all successors are in its failure domain")
		}
	})
	t.Run("leaving members are excluded", func(t *testing.T) {
		leaving := slices.Clone(members)
		for i := range leaving[1:] {
			leaving[i+1].Leaving = i > 0
		}
		asserter.Equal(t, placer.Successors("r", owner.VM, leaving, 3), []buckthorndyke.VMID{members[1].VM})
	})
}

func TestRank(t *testing.T) {
	t.Run("the top IDs are the first of the ranking", func(t *testing.T) {
		ids := make([]buckthorndyke.VMID, 40)
		for i := range ids {
			ids[i] = buckthorndyke.VMID(fmt.Sprint("v", i))
		}
		ranked := placer.Rank("key", ids)
		asserter.Equal(t, placer.TopN("key", ids, 7), ranked[:7])
		asserter.Equal(t, placer.Top("key", ids), ranked[0])
		asserter.Equal(t, len(placer.TopN("key", ids[:3], 7)), 3)
		asserter.Equal(t, placer.Top[buckthorndyke.VMID]("key", nil), "")
	})
}

type placementFunc func(buckthorndyke.ModelRule, []placer.Runner) []buckthorndyke.RunnerID

// spreadsEvenly returns the property that no failure domain has two or more replicas
// more than another one that could take another replica.
func spreadsEvenly(desired placementFunc) func(*rand.Rand) bool {
	return func(r *rand.Rand) bool {
		rule, runners := ruleAndRunners(r)
		spare, used := make(map[buckthorndyke.DomainID]int), make(map[buckthorndyke.DomainID]int)
		for _, runner := range runners {
			spare[runner.Domain]++
		}
		domains := make(map[buckthorndyke.RunnerID]buckthorndyke.DomainID)
		for _, runner := range runners {
			domains[runner.ID] = runner.Domain
		}
		for _, id := range desired(rule, slices.Clone(runners)) {
			used[domains[id]]++
			spare[domains[id]]--
		}
		for a, n := range used {
			for b, left := range spare {
				if a != b && left > 0 && n > used[b]+1 {
					return false
				}
			}
		}
		return true
	}
}

// movesFewReplicas returns the property that an additional runner moves at most one
// replica, and only to itself.
func movesFewReplicas(desired placementFunc) func(*rand.Rand) bool {
	return func(r *rand.Rand) bool {
		rule, runners := ruleAndRunners(r)
		before, after := desired(rule, runners[1:]), desired(rule, runners)
		kept := 0
		for _, id := range before {
			if slices.Contains(after, id) {
				kept++
			}
		}
		joined := slices.Contains(after, runners[0].ID)
		return kept == len(before) || joined && kept >= len(before)-1
	}
}

// placeByModulo selects runners by index modulo their number, as a counterexample to
// movesFewReplicas.
func placeByModulo(rule buckthorndyke.ModelRule, runners []placer.Runner) []buckthorndyke.RunnerID {
	var ids []buckthorndyke.RunnerID
	for i := range min(rule.Replicas, len(runners)) {
		ids = append(ids, runners[(len(rule.ID)+i*7)%len(runners)].ID)
	}
	return ids
}

func assertHolds(t *testing.T, p func(*rand.Rand) bool) {
	t.Helper()
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(propertySeed))
	properties.Property(t.Name(), prop.ForAll(func(seed uint64) bool {
		return p(rand.New(rand.NewPCG(seed, propertySeed)))
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// assertFails checks that p does not hold for some seed.
func assertFails(t *testing.T, p func(*rand.Rand) bool) {
	t.Helper()
	for seed := range uint64(50) {
		if !p(rand.New(rand.NewPCG(seed, propertySeed))) {
			return
		}
	}
	t.Error("the property holds for an incorrect implementation")
}

func membersOf(n, domains int) []buckthorndyke.Member {
	members := make([]buckthorndyke.Member, n)
	for i := range members {
		members[i] = buckthorndyke.Member{
			Domain: buckthorndyke.DomainID(fmt.Sprint("d", i%domains)), VM: buckthorndyke.VMID(fmt.Sprintf("v%03d", i)),
		}
	}
	return members
}

func ruleAndRunners(r *rand.Rand) (buckthorndyke.ModelRule, []placer.Runner) {
	runners := make([]placer.Runner, 2+r.IntN(20))
	for i := range runners {
		runners[i] = placer.Runner{
			Domain: buckthorndyke.DomainID(fmt.Sprint("d", r.IntN(4))),
			ID:     buckthorndyke.RunnerID(fmt.Sprint("r", i)),
		}
	}
	model := buckthorndyke.ModelID(fmt.Sprint("m", r.IntN(1000)))
	return buckthorndyke.ModelRule{ID: model, Replicas: 1 + r.IntN(6)}, runners
}
