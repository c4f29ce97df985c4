package planner

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

// plan is what the planner knows. Only its task uses it.
type plan struct {
	assignment placer.Assignment
	liveness   buckthorndyke.Liveness
	models     map[buckthorndyke.ModelID]standing
	progress   buckthorndyke.StateUpdate
	settleTime buckthorndyke.Millis
	// usedLiveness and usedState are the inputs of assignment.
	usedLiveness buckthorndyke.Liveness
	usedState    *buckthorndyke.State
}

// standing is what the planner remembers of one model.
type standing struct {
	backoff buckthorndyke.Millis
	pending bool
	// seen is the offset that the state must have reached before the next
	// proposal.
	seen buckthorndyke.Offset
	// unsettled is the instant since which a permission would move, or 0.
	unsettled buckthorndyke.Millis
	// until is the instant until which nothing is proposed after a rejection.
	until buckthorndyke.Millis
}

// result is the outcome of a proposal.
type result struct {
	accepted bool
	model    buckthorndyke.ModelID
	offset   buckthorndyke.Offset
}

func newPlan(settleTime buckthorndyke.Millis) *plan {
	return &plan{models: make(map[buckthorndyke.ModelID]standing), settleTime: settleTime}
}

// finish notes the outcome of a proposal.
func (p *plan) finish(r result, now buckthorndyke.Millis) {
	m := p.models[r.model]
	m.pending = false
	m.seen = r.offset
	if r.accepted {
		m.backoff = 0
	} else {
		m.backoff = min(max(m.backoff*backoffFactor, firstBackoff), maxBackoff)
		m.until = now + m.backoff
	}
	p.models[r.model] = m
}

// next returns the change that is due for m, if any.
func (p *plan) next(m placer.AssignedModel, now buckthorndyke.Millis) (buckthorndyke.Change, bool) {
	have := p.models[m.Model]
	placement, _ := p.progress.State.Placements.Get(m.Model)
	need := placer.PlacementDiff{Desired: m.Desired, Model: m.Model, Placement: placement, Replicas: m.Replicas}
	switch {
	case !need.NeedsMove():
		have.unsettled = 0
	case have.unsettled == 0:
		have.unsettled = now
	}
	p.models[m.Model] = have
	need.MoveAllowed = have.unsettled > 0 && (now-have.unsettled >= p.settleTime || p.onReclaimed(placement))
	if have.pending || now < have.until || p.progress.State.Offset < have.seen {
		return nil, false
	}
	return need.Next()
}

// onReclaimed reports whether a permitted runner is leaving.
func (p *plan) onReclaimed(placement buckthorndyke.Placement) bool {
	return slices.ContainsFunc(placement.Permitted(), func(r buckthorndyke.RunnerID) bool {
		return p.assignment.Reclaimed[r]
	})
}

// open reports whether self may propose now.
func (p *plan) open(self buckthorndyke.Self) bool {
	m, ok := p.progress.State.Members.Get(self.VM)
	return ok && m.Incarnation == self.Incarnation && !m.Leaving && p.progress.CaughtUp && !p.progress.LogDown
}

// refresh computes the assignment again if its inputs have changed.
func (p *plan) refresh(self buckthorndyke.VMID) {
	state := p.progress.State
	if p.usedState != nil && placer.SameInputs(state, *p.usedState, p.liveness, p.usedLiveness) {
		return
	}
	p.assignment = placer.Assign(state, p.liveness, self)
	p.usedState, p.usedLiveness = &state, p.liveness
	for model := range p.models {
		assigned := func(m placer.AssignedModel) bool { return m.Model == model }
		if !p.models[model].pending && !slices.ContainsFunc(p.assignment.Models, assigned) {
			delete(p.models, model)
		}
	}
}

// start notes that a proposal for model is under way.
func (p *plan) start(model buckthorndyke.ModelID) {
	m := p.models[model]
	m.pending = true
	p.models[model] = m
}
