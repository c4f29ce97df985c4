package commander

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
)

// pollInterval is the time between two requests for the versions in force.
const pollInterval = 100 * buckthorndyke.Millisecond

// rollout says on which live VMs a version of the rules, or a newer one, is in force.
type rollout struct {
	inForceOn []buckthorndyke.VMID
	// lacking lists the other live VMs, including those that did not report their
	// version.
	lacking []operator.VMItem
}

// newRollout returns the rollout of version. VMs with a newer version count as up to
// date, because newer versions are based on it.
func newRollout(vms []operator.VMItem, version buckthorndyke.Offset) rollout {
	r := rollout{inForceOn: []buckthorndyke.VMID{}, lacking: []operator.VMItem{}}
	for _, v := range vms {
		if v.Error == "" && v.RulesVersion >= version {
			r.inForceOn = append(r.inForceOn, v.VM)
			continue
		}
		r.lacking = append(r.lacking, v)
	}
	return r
}

// complete reports whether the rules are in force on all live VMs. It returns false if
// no VM has reported, because that shows nothing.
func (r rollout) complete() bool {
	return len(r.lacking) == 0 && len(r.inForceOn) > 0
}

// awaitRollout polls the versions in force until the rollout of version is complete or
// the time to wait is over. It returns the rollout as of the last request, and an error
// if that request failed or ctx ended.
func (a applyRun) awaitRollout(ctx context.Context, version buckthorndyke.Offset) (rollout, error) {
	timeout := a.clock.After(a.wait)
	for {
		var response operator.VersionsResponse
		err := a.client.get(ctx, operator.PathVersions, &response)
		r := newRollout(response.VMs, version)
		if err == nil && r.complete() {
			return r, nil
		}
		select {
		case <-ctx.Done():
			return r, context.Cause(ctx)
		case <-timeout:
			return r, err
		case <-a.clock.After(pollInterval):
		}
	}
}
