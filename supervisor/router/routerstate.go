package router

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
)

// troubleSpan is how long a runner or backend server that has failed is asked
// after the others.
const faultPenaltyTime = 2 * buckthorndyke.Second

// knowledge is what an entry VM knows when it chooses. It is immutable.
type routerState struct {
	affinity chooser.Affinity
	budget   chooser.Budget
	// lives holds the life in which a runner's engine was last seen.
	incarnations buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.Incarnation]
	// outstanding counts the calls that are under way to each backend server.
	outstanding buckthorndyke.Table[buckthorndyke.VMID, int]
	reports     buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.RunnerReport]
	// turn rotates among equally loaded backend servers.
	roundRobin int
	// troubles holds when a runner or its owner last failed.
	runnerFaults buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.Millis]
	// failures holds when a call of a backend server last failed.
	serverFaults buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.Millis]
	// surveyed holds when the runners of a model were last surveyed.
	surveyedAt buckthorndyke.Table[buckthorndyke.ModelID, buckthorndyke.Millis]
	suspects   chooser.Suspects
	// tiers holds the checkpoints that a runner has close at hand.
	tiers  buckthorndyke.Table[buckthorndyke.RunnerID, map[buckthorndyke.ModelID]buckthorndyke.Tier]
	update buckthorndyke.StateUpdate
	vms    []buckthorndyke.VM
}

// newKnowledge returns the knowledge of a new process.
func newRouterState() routerState {
	return routerState{budget: chooser.NewBudget()}
}

// candidates describes the permitted runners of a model.
func (st routerState) candidates(r buckthorndyke.GenerateRequest, now buckthorndyke.Millis) []chooser.Candidate {
	placement, ok := st.update.State.PlacementOf(r.Model)
	if !ok {
		return nil
	}
	permitted := placement.Permitted()
	candidates := make([]chooser.Candidate, len(permitted))
	for i, runner := range permitted {
		candidates[i] = st.candidate(runner, r, now)
	}
	return candidates
}

// candidate describes one permitted runner.
func (st routerState) candidate(
	runner buckthorndyke.RunnerID, r buckthorndyke.GenerateRequest, now buckthorndyke.Millis,
) chooser.Candidate {
	c := chooser.Candidate{Runner: runner, Tier: buckthorndyke.TierRemote}
	_, _, c.Live = st.owner(runner)
	if at, ok := st.runnerFaults.Get(runner); ok && now-at < faultPenaltyTime {
		c.Live = false
	}
	report, _ := st.reports.Get(runner)
	c.Load = chooser.LoadOf(report, r.Caller.Rank)
	c.Loaded = slices.Contains(report.Residents, r.Model)
	if tiers, ok := st.tiers.Get(runner); ok {
		if tier, near := tiers[r.Model]; near {
			c.Tier = tier
		}
	}
	if prefix, ok := chooser.PrefixOf(r.Model, r.Prompt); ok {
		affine, known := st.affinity.RunnerOf(prefix)
		c.Affine = known && affine == runner
	}
	return c
}

// order returns the permitted runners in the order in which r asks them.
func (st routerState) order(
	r buckthorndyke.GenerateRequest, seed uint64, now buckthorndyke.Millis,
) []buckthorndyke.RunnerID {
	return chooser.Order(r.Model, st.candidates(r, now), seed)
}

// owner returns the ownership of runner and the live member that owns it.
func (st routerState) owner(runner buckthorndyke.RunnerID) (buckthorndyke.Ownership, buckthorndyke.Member, bool) {
	ownership, ok := st.update.State.OwnershipOf(runner)
	if !ok {
		return ownership, buckthorndyke.Member{}, false
	}
	member, ok := st.update.State.Members.Get(ownership.Owner)
	return ownership, member, ok && member.Incarnation == ownership.Incarnation
}

// owns reports whether the owner with the given epoch still owns runner and is
// alive.
func (st routerState) owns(runner buckthorndyke.RunnerID, epoch buckthorndyke.Offset) bool {
	ownership, _, live := st.owner(runner)
	return live && ownership.Epoch == epoch
}

// withReport returns knowledge that holds report unless it comes from an owner
// that has been succeeded.
func (st routerState) withReport(report buckthorndyke.RunnerReport) routerState {
	if report.Runner == "" {
		return st
	}
	if old, ok := st.reports.Get(report.Runner); ok && old.Epoch > report.Epoch {
		return st
	}
	st.reports = st.reports.With(report.Runner, report)
	return st
}

// withProgress returns knowledge of a newer state.
func (st routerState) withUpdate(p buckthorndyke.StateUpdate) routerState {
	st.update = p
	return st
}
