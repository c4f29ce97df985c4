package planner

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

// taskState is the state of the planner's task.
type taskState struct {
	// assignedLiveness and assignedState are the inputs from which assignment was
	// computed.
	assignedLiveness buckthorndyke.Liveness
	assignedState    *buckthorndyke.State
	assignment       placer.Assignment
	liveness         buckthorndyke.Liveness
	models           map[buckthorndyke.ModelID]modelState
	settleTime       buckthorndyke.Millis
	update           buckthorndyke.StateUpdate
}

// modelState is the planner's state of one model.
type modelState struct {
	backoff buckthorndyke.Millis
	// minOffset is the offset of the last proposal. The next one must be based on a state
	// that includes it.
	minOffset buckthorndyke.Offset
	// moveSince is the instant since which a permission ought to move to another runner,
	// or 0 if none ought to.
	moveSince buckthorndyke.Millis
	pending   bool
	// retryAt is the instant before which nothing is proposed after a rejection.
	retryAt buckthorndyke.Millis
}

// result is the result of a proposal for model.
type result struct {
	accepted bool
	model    buckthorndyke.ModelID
	offset   buckthorndyke.Offset
}

func newTaskState(settleTime buckthorndyke.Millis) *taskState {
	return &taskState{models: make(map[buckthorndyke.ModelID]modelState), settleTime: settleTime}
}

// handleResult records the result of a proposal. After a rejection or an error it
// increases the backoff.
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

// hasReclaimedRunner reports whether a runner on which the model is permitted is about
// to be reclaimed.
func (s *taskState) hasReclaimedRunner(placement buckthorndyke.Placement) bool {
	return slices.ContainsFunc(placement.Permitted(), func(r buckthorndyke.RunnerID) bool {
		return s.assignment.Reclaimed[r]
	})
}

// markPending records that a proposal for model is under way.
func (s *taskState) markPending(model buckthorndyke.ModelID) {
	m := s.models[model]
	m.pending = true
	s.models[model] = m
}

// mayPropose reports whether self is a member that is not leaving and its state is up to
// date.
func (s *taskState) mayPropose(self buckthorndyke.Self) bool {
	m, ok := s.update.State.Members.Get(self.VM)
	return ok && m.Incarnation == self.Incarnation && !m.Leaving && s.update.CaughtUp && !s.update.LogDown
}

// nextChange returns the change that is due for m, or false if there is none. A
// permission moves once the move has been due for the settle time, or at once if a
// permitted runner is being reclaimed.
func (s *taskState) nextChange(m placer.AssignedModel, now buckthorndyke.Millis) (buckthorndyke.Change, bool) {
	have := s.models[m.Model]
	placement, _ := s.update.State.Placements.Get(m.Model)
	need := placer.PlacementDiff{Desired: m.Desired, Model: m.Model, Placement: placement, Replicas: m.Replicas}
	switch {
	case !need.NeedsMove():
		have.moveSince = 0
	case have.moveSince == 0:
		have.moveSince = now
	}
	s.models[m.Model] = have
	need.MoveAllowed = have.moveSince > 0 && (now-have.moveSince >= s.settleTime || s.hasReclaimedRunner(placement))
	if have.pending || now < have.retryAt || s.update.State.Offset < have.minOffset {
		return nil, false
	}
	return need.Next()
}

// updateAssignment recomputes the assignment if its inputs have changed, and deletes the
// states of models that are not assigned to self any more.
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
