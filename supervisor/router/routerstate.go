package router

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
	"github.com/buckthorndyke/buckthorndyke/quarantiner"
)

// faultPenaltyTime is how long a runner or backend server is tried only after the
// others once it has failed.
const faultPenaltyTime = 2 * buckthorndyke.Second

// routerState is the state from which the router chooses runners and backend servers.
// It is immutable.
type routerState struct {
	affinity chooser.Affinity
	budget   chooser.Budget
	// crashes holds the runner crashes and the requests that may have caused them.
	crashes quarantiner.Evidence
	// incarnations holds the last known incarnation of each runner's engine.
	incarnations buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.Incarnation]
	// outstanding counts the calls in progress at each backend server.
	outstanding buckthorndyke.Table[buckthorndyke.VMID, int]
	reports     buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.RunnerReport]
	// roundRobin counts the calls, to rotate among equally loaded backend servers.
	roundRobin int
	// runnerFaults holds when a runner or its owner last failed.
	runnerFaults buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.Millis]
	// serverFaults holds when a call to a backend server last failed.
	serverFaults buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.Millis]
	// surveyedAt holds when the runners of a model were last asked for their status.
	surveyedAt buckthorndyke.Table[buckthorndyke.ModelID, buckthorndyke.Millis]
	// tiers holds the checkpoints that each runner has in memory or on disk.
	tiers  buckthorndyke.Table[buckthorndyke.RunnerID, map[buckthorndyke.ModelID]buckthorndyke.Tier]
	update buckthorndyke.StateUpdate
	vms    []buckthorndyke.VM
}

// newRouterState returns the state of a new process.
func newRouterState() routerState {
	// A suspect runs alone, so that only its completion after a crash clears it.
	return routerState{budget: chooser.NewBudget(), crashes: quarantiner.New(quarantiner.WithServedWindow(0))}
}

// candidates describes the runners that may serve r.
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

// candidate describes one runner that may serve r.
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
		c.PrefixCached = known && affine == runner
	}
	return c
}

// order returns the runners that may serve r, in the order in which to try them.
func (st routerState) order(
	r buckthorndyke.GenerateRequest, seed uint64, now buckthorndyke.Millis,
) []buckthorndyke.RunnerID {
	return chooser.Order(r.Model, st.candidates(r, now), seed)
}

// owner returns the ownership of runner, the member that owns it, and whether the
// incarnation that took ownership is still a member.
func (st routerState) owner(runner buckthorndyke.RunnerID) (buckthorndyke.Ownership, buckthorndyke.Member, bool) {
	ownership, ok := st.update.State.OwnershipOf(runner)
	if !ok {
		return ownership, buckthorndyke.Member{}, false
	}
	member, ok := st.update.State.Members.Get(ownership.Owner)
	return ownership, member, ok && member.Incarnation == ownership.Incarnation
}

// owns reports whether the owner with the given epoch still owns runner and is still a
// member.
func (st routerState) owns(runner buckthorndyke.RunnerID, epoch buckthorndyke.Offset) bool {
	ownership, _, live := st.owner(runner)
	return live && ownership.Epoch == epoch
}

// withReport returns a copy of st with report, unless a report of a later owner of the
// runner is known.
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

// withUpdate returns a copy of st with a newer state update.
func (st routerState) withUpdate(u buckthorndyke.StateUpdate) routerState {
	st.update = u
	return st
}

// quarantined reports whether a request is refused at now because it crashes runners.
func (st routerState) quarantined(f buckthorndyke.Fingerprint, now buckthorndyke.Millis) bool {
	_, quarantined := st.crashes.Quarantined([]buckthorndyke.Fingerprint{f}, now)
	return quarantined || st.update.State.Quarantines.Has(f)
}
