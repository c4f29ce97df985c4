package commander

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
)

// pollInterval is the time between two questions for the versions in force.
const pollInterval = 100 * buckthorndyke.Millisecond

// force says on which live VMs a version of the rules is in force.
type force struct {
	inForceOn []buckthorndyke.VMID
	lacking   []operator.VMItem
}

// newForce sorts the live VMs by whether they have at least version. A newer
// version than that was made from it.
func newForce(vms []operator.VMItem, version buckthorndyke.Offset) force {
	f := force{inForceOn: []buckthorndyke.VMID{}, lacking: []operator.VMItem{}}
	for _, v := range vms {
		if v.Error == "" && v.RulesVersion >= version {
			f.inForceOn = append(f.inForceOn, v.VM)
			continue
		}
		f.lacking = append(f.lacking, v)
	}
	return f
}

// everywhere reports whether all live VMs have the rules in force. Without any
// report that is not known.
func (f force) everywhere() bool {
	return len(f.lacking) == 0 && len(f.inForceOn) > 0
}

// awaitForce asks for the versions in force until all live VMs have version or
// the time to wait is over. It returns the last answer, and an error if the last
// question got none.
func (a application) awaitForce(ctx context.Context, version buckthorndyke.Offset) (force, error) {
	over := a.clock.After(a.wait)
	for {
		var answer operator.VersionsResponse
		err := a.client.get(ctx, operator.PathVersions, &answer)
		f := newForce(answer.VMs, version)
		if err == nil && f.everywhere() {
			return f, nil
		}
		select {
		case <-ctx.Done():
			return f, context.Cause(ctx)
		case <-over:
			return f, err
		case <-a.clock.After(pollInterval):
		}
	}
}
