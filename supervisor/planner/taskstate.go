package planner

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

// plan is what the planner knows. Only its task uses it.
type taskState struct {
	// usedLiveness and usedState are the inputs of assignment.
	assignedLiveness buckthorndyke.Liveness
	assignedState    *buckthorndyke.State
	assignment       placer.Assignment
	liveness         buckthorndyke.Liveness
	models           map[buckthorndyke.ModelID]modelState
	settleTime       buckthorndyke.Millis
	update           buckthorndyke.StateUpdate
}

// standing is what the planner remembers of one model.
type modelState struct {
	backoff buckthorndyke.Millis
	// seen is the offset that the state must have reached before the next
	// proposal.
	minOffset buckthorndyke.Offset
	// unsettled is the instant since which a permission would move, or 0.
	moveSince buckthorndyke.Millis
	pending   bool
	// until is the instant until which nothing is proposed after a rejection.
	retryAt buckthorndyke.Millis
}

// result is the outcome of a proposal.
type result struct {
	accepted bool
	model    buckthorndyke.ModelID
	offset   buckthorndyke.Offset
}

func newTaskState(settleTime buckthorndyke.Millis) *taskState {
	return &taskState{models: make(map[buckthorndyke.ModelID]modelState), settleTime: settleTime}
}

// finish notes the outcome of a proposal.
func (s *taskState) handleResult(r result, now buckthorndyke.Millis) {
	m := s.models[r.model]
	m.pending = false
	m.minOffset = r.offset
	if r.accepted {
		m.backoff = 0
	} else {
		m.backoff = min(max(m.backoff*backoffFactor, firstBackoff), maxBackoff)
		m.retryAt = now + m.backoff
	}
	s.models[r.model] = m
}

// onReclaimed reports whether a permitted runner is leaving.
func (s *taskState) hasReclaimedRunner(placement buckthorndyke.Placement) bool {
	return slices.ContainsFunc(placement.Permitted(), func(r buckthorndyke.RunnerID) bool {
		return s.assignment.Reclaimed[r]
	})
}

// start notes that a proposal for model is under way.
func (s *taskState) markPending(model buckthorndyke.ModelID) {
	m := s.models[model]
	m.pending = true
	s.models[model] = m
}

// open reports whether self may propose now.
func (s *taskState) mayPropose(self buckthorndyke.Self) bool {
	m, ok := s.update.State.Members.Get(self.VM)
	return ok && m.Incarnation == self.Incarnation && !m.Leaving && s.update.CaughtUp && !s.update.LogDown
}

// next returns the change that is due for m, if any.
func (s *taskState) nextChange(m placer.AssignedModel, now buckthorndyke.Millis) (buckthorndyke.Change, bool) {
	have := s.models[m.Model]
	placement, _ := s.update.State.Placements.Get(m.Model)
	need := placer.Need{Desired: m.Desired, Model: m.Model, Placement: placement, Replicas: m.Replicas}
	switch {
	case !need.Moves():
		have.moveSince = 0
	case have.moveSince == 0:
		have.moveSince = now
	}
	s.models[m.Model] = have
	need.Settled = have.moveSince > 0 && (now-have.moveSince >= s.settleTime || s.hasReclaimedRunner(placement))
	if have.pending || now < have.retryAt || s.update.State.Offset < have.minOffset {
		return nil, false
	}
	return need.Next()
}

// refresh computes the assignment again if its inputs have changed.
func (s *taskState) updateAssignment(self buckthorndyke.VMID) {
	state := s.update.State
	if s.assignedState != nil && placer.SameInputs(state, *s.assignedState, s.liveness, s.assignedLiveness) {
		return
	}
	s.assignment = placer.Assign(state, s.liveness, self)
	s.assignedState, s.assignedLiveness = &state, s.liveness
	for model := range s.models {
		assigned := func(m placer.AssignedModel) bool { return m.Model == model }
		if !s.models[model].pending && !slices.ContainsFunc(s.assignment.Models, assigned) {
			delete(s.models, model)
		}
	}
}
