package buckthorndyke

// Quarantine blocks a request that has crashed runners.
type Quarantine struct {
	Crashes     int
	Fingerprint Fingerprint
	Model       ModelID
	Offset      Offset
}

// State is the result of applying the control stream up to an offset. It is
// immutable, and equal in all processes that have applied the same records.
type State struct {
	// Audit holds the most recent attempts to change the rules, by offset.
	Audit      Table[Offset, AuditEntry]
	Members    Table[VMID, Member]
	Offset     Offset
	Ownerships Table[RunnerID, Ownership]
	Placements Table[ModelID, Placement]
	// ProposalResults holds the results of recent proposals, to recognize duplicates.
	ProposalResults Table[ProposalID, ProposalResult]
	Quarantines     Table[Fingerprint, Quarantine]
	Rules           Rules
	RulesText       string
	// RulesVersion is the offset of the record that set the rules.
	RulesVersion Offset
	// UnknownRecords counts the records that this version of the program cannot
	// interpret.
	UnknownRecords int
	// resultIDs holds the keys of ProposalResults by offset, to remove the oldest.
	resultIDs Table[Offset, ProposalID]
}

// OwnershipOf returns the ownership of runner.
func (s State) OwnershipOf(runner RunnerID) (Ownership, bool) {
	return s.Ownerships.Get(runner)
}

// PlacementOf returns the placement that determines the runners that may load
// model.
func (s State) PlacementOf(model ModelID) (Placement, bool) {
	rule, ok := s.Rules.Models.Get(model)
	if !ok {
		return Placement{}, false
	}
	return s.Placements.Get(rule.PlacementModel())
}

// WithAudit returns a copy of s with e added to the audit trail, of which it keeps
// the newest keep entries.
func (s State) WithAudit(e AuditEntry, keep int) State {
	s.Audit = s.Audit.With(e.Offset, e)
	for s.Audit.Len() > keep {
		s.Audit = s.Audit.Without(firstKey(s.Audit))
	}
	return s
}

// WithMember returns a copy of s that includes m.
func (s State) WithMember(m Member) State {
	s.Members = s.Members.With(m.VM, m)
	return s
}

// WithOffset returns a copy of s that counts as having applied all records up to
// offset.
func (s State) WithOffset(offset Offset) State {
	s.Offset = offset
	return s
}

// WithOwnership returns a copy of s that includes o.
func (s State) WithOwnership(o Ownership) State {
	s.Ownerships = s.Ownerships.With(o.Runner, o)
	return s
}

// WithPlacement returns a copy of s that includes p.
func (s State) WithPlacement(p Placement) State {
	s.Placements = s.Placements.With(p.Model, p)
	return s
}

// WithProposalResult returns a copy of s that includes r and keeps the newest keep
// results.
func (s State) WithProposalResult(r ProposalResult, keep int) State {
	s.ProposalResults = s.ProposalResults.With(r.ID, r)
	s.resultIDs = s.resultIDs.With(r.Offset, r.ID)
	for s.resultIDs.Len() > keep {
		oldest := firstKey(s.resultIDs)
		id, _ := s.resultIDs.Get(oldest)
		s.resultIDs = s.resultIDs.Without(oldest)
		s.ProposalResults = s.ProposalResults.Without(id)
	}
	return s
}

// WithQuarantine returns a copy of s that includes q.
func (s State) WithQuarantine(q Quarantine) State {
	s.Quarantines = s.Quarantines.With(q.Fingerprint, q)
	return s
}

// WithRules returns a copy of s with rules, which were parsed from text and accepted
// at version.
func (s State) WithRules(rules Rules, text string, version Offset) State {
	s.Rules = rules
	s.RulesText = text
	s.RulesVersion = version
	return s
}

// WithUnknownRecord returns a copy of s with UnknownRecords increased by one.
func (s State) WithUnknownRecord() State {
	s.UnknownRecords++
	return s
}

// WithoutMember returns a copy of s without vm.
func (s State) WithoutMember(vm VMID) State {
	s.Members = s.Members.Without(vm)
	return s
}

// WithoutPlacement returns a copy of s without the placement of model.
func (s State) WithoutPlacement(model ModelID) State {
	s.Placements = s.Placements.Without(model)
	return s
}

// WithoutQuarantine returns a copy of s without the quarantine of f.
func (s State) WithoutQuarantine(f Fingerprint) State {
	s.Quarantines = s.Quarantines.Without(f)
	return s
}

// firstKey returns the lowest key of t, or NoOffset if t is empty.
func firstKey[V any](t Table[Offset, V]) Offset {
	for k := range t.All() {
		return k
	}
	return NoOffset
}
