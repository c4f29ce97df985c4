package router

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
)

// troubleSpan is how long a runner or backend server that has failed is asked
// after the others.
const troubleSpan = 2 * buckthorndyke.Second

// knowledge is what an entry VM knows when it chooses. It is immutable.
type knowledge struct {
	affinity chooser.Affinity
	budget   chooser.Budget
	// failures holds when a call of a backend server last failed.
	failures buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.Millis]
	// lives holds the life in which a runner's engine was last seen.
	lives buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.Incarnation]
	// outstanding counts the calls that are under way to each backend server.
	outstanding buckthorndyke.Table[buckthorndyke.VMID, int]
	progress    buckthorndyke.StateUpdate
	reports     buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.RunnerReport]
	suspects    chooser.Suspects
	// surveyed holds when the runners of a model were last surveyed.
	surveyed buckthorndyke.Table[buckthorndyke.ModelID, buckthorndyke.Millis]
	// tiers holds the checkpoints that a runner has close at hand.
	tiers buckthorndyke.Table[buckthorndyke.RunnerID, map[buckthorndyke.ModelID]buckthorndyke.Tier]
	// troubles holds when a runner or its owner last failed.
	troubles buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.Millis]
	// turn rotates among equally loaded backend servers.
	turn int
	vms  []buckthorndyke.VM
}

// newKnowledge returns the knowledge of a new process.
func newKnowledge() knowledge {
	return knowledge{budget: chooser.NewBudget()}
}

// candidates describes the permitted runners of a model.
func (k knowledge) candidates(r buckthorndyke.GenerateRequest, now buckthorndyke.Millis) []chooser.Candidate {
	placement, ok := k.progress.State.PlacementOf(r.Model)
	if !ok {
		return nil
	}
	permitted := placement.Permitted()
	candidates := make([]chooser.Candidate, len(permitted))
	for i, runner := range permitted {
		candidates[i] = k.candidate(runner, r, now)
	}
	return candidates
}

// candidate describes one permitted runner.
func (k knowledge) candidate(
	runner buckthorndyke.RunnerID, r buckthorndyke.GenerateRequest, now buckthorndyke.Millis,
) chooser.Candidate {
	c := chooser.Candidate{Runner: runner, Tier: buckthorndyke.TierRemote}
	_, _, c.Live = k.owner(runner)
	if at, ok := k.troubles.Get(runner); ok && now-at < troubleSpan {
		c.Live = false
	}
	report, _ := k.reports.Get(runner)
	c.Load = chooser.LoadOf(report, r.Caller.Rank)
	c.Loaded = slices.Contains(report.Residents, r.Model)
	if tiers, ok := k.tiers.Get(runner); ok {
		if tier, near := tiers[r.Model]; near {
			c.Tier = tier
		}
	}
	if prefix, ok := chooser.PrefixOf(r.Model, r.Prompt); ok {
		affine, known := k.affinity.RunnerOf(prefix)
		c.PrefixCached = known && affine == runner
	}
	return c
}

// order returns the permitted runners in the order in which r asks them.
func (k knowledge) order(
	r buckthorndyke.GenerateRequest, seed uint64, now buckthorndyke.Millis,
) []buckthorndyke.RunnerID {
	return chooser.Order(r.Model, k.candidates(r, now), seed)
}

// owner returns the ownership of runner and the live member that owns it.
func (k knowledge) owner(runner buckthorndyke.RunnerID) (buckthorndyke.Ownership, buckthorndyke.Member, bool) {
	ownership, ok := k.progress.State.OwnershipOf(runner)
	if !ok {
		return ownership, buckthorndyke.Member{}, false
	}
	member, ok := k.progress.State.Members.Get(ownership.Owner)
	return ownership, member, ok && member.Incarnation == ownership.Incarnation
}

// owns reports whether the owner with the given epoch still owns runner and is
// alive.
func (k knowledge) owns(runner buckthorndyke.RunnerID, epoch buckthorndyke.Offset) bool {
	ownership, _, live := k.owner(runner)
	return live && ownership.Epoch == epoch
}

// withProgress returns knowledge of a newer state.
func (k knowledge) withProgress(p buckthorndyke.StateUpdate) knowledge {
	k.progress = p
	return k
}

// withReport returns knowledge that holds report unless it comes from an owner
// that has been succeeded.
func (k knowledge) withReport(report buckthorndyke.RunnerReport) knowledge {
	if report.Runner == "" {
		return k
	}
	if old, ok := k.reports.Get(report.Runner); ok && old.Epoch > report.Epoch {
		return k
	}
	k.reports = k.reports.With(report.Runner, report)
	return k
}
