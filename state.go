package buckthorndyke

// Quarantine stops a request that crashes runners.
type Quarantine struct {
	Crashes     int
	Fingerprint Fingerprint
	Model       ModelID
	Offset      Offset
}

// State is what the control stream says up to an offset. It is immutable, and
// equal on all processes that have folded the same records.
type State struct {
	// Audit holds the most recent attempts to change the rules, by offset.
	Audit      Table[Offset, AuditEntry]
	Members    Table[VMID, Member]
	Offset     Offset
	Ownerships Table[RunnerID, Ownership]
	Placements Table[ModelID, Placement]
	// ProposalResults holds the rulings of recent proposals, to recognize duplicates.
	ProposalResults Table[ProposalID, ProposalResult]
	Quarantines     Table[Fingerprint, Quarantine]
	Rules           Rules
	RulesText       string
	// RulesVersion is the offset of the record that made the rules.
	RulesVersion Offset
	// UnknownRecords counts the records that this version of the program cannot read.
	UnknownRecords int
	// rulings lists the keys of Proposals by offset.
	rulings Table[Offset, ProposalID]
}

// OwnershipOf returns the ownership of runner.
func (s State) OwnershipOf(runner RunnerID) (Ownership, bool) {
	return s.Ownerships.Get(runner)
}

// PlacementOf returns the placement that decides where model may be loaded.
func (s State) PlacementOf(model ModelID) (Placement, bool) {
	rule, ok := s.Rules.Models.Get(model)
	if !ok {
		return Placement{}, false
	}
	return s.Placements.Get(rule.PlacementModel())
}

// WithAudit returns a state that also holds e and at most keep entries.
func (s State) WithAudit(e AuditEntry, keep int) State {
	s.Audit = s.Audit.With(e.Offset, e)
	for s.Audit.Len() > keep {
		s.Audit = s.Audit.Without(firstKey(s.Audit))
	}
	return s
}

// WithMember returns a state that holds m.
func (s State) WithMember(m Member) State {
	s.Members = s.Members.With(m.VM, m)
	return s
}

// WithOffset returns a state that has folded all records up to offset.
func (s State) WithOffset(offset Offset) State {
	s.Offset = offset
	return s
}

// WithOwnership returns a state that holds o.
func (s State) WithOwnership(o Ownership) State {
	s.Ownerships = s.Ownerships.With(o.Runner, o)
	return s
}

// WithPlacement returns a state that holds p.
func (s State) WithPlacement(p Placement) State {
	s.Placements = s.Placements.With(p.Model, p)
	return s
}

// WithProposalResult returns a state that also holds r and at most keep rulings.
func (s State) WithProposalResult(r ProposalResult, keep int) State {
	s.ProposalResults = s.ProposalResults.With(r.ID, r)
	s.rulings = s.rulings.With(r.Offset, r.ID)
	for s.rulings.Len() > keep {
		oldest := firstKey(s.rulings)
		id, _ := s.rulings.Get(oldest)
		s.rulings = s.rulings.Without(oldest)
		s.ProposalResults = s.ProposalResults.Without(id)
	}
	return s
}

// WithQuarantine returns a state that holds q.
func (s State) WithQuarantine(q Quarantine) State {
	s.Quarantines = s.Quarantines.With(q.Fingerprint, q)
	return s
}

// WithRules returns a state whose rules are those of text, accepted at version.
func (s State) WithRules(rules Rules, text string, version Offset) State {
	s.Rules = rules
	s.RulesText = text
	s.RulesVersion = version
	return s
}

// WithUnknownRecord returns a state that has met one more unreadable record.
func (s State) WithUnknownRecord() State {
	s.UnknownRecords++
	return s
}

// WithoutMember returns a state without vm.
func (s State) WithoutMember(vm VMID) State {
	s.Members = s.Members.Without(vm)
	return s
}

// WithoutPlacement returns a state without the placement of model.
func (s State) WithoutPlacement(model ModelID) State {
	s.Placements = s.Placements.Without(model)
	return s
}

// WithoutQuarantine returns a state without the quarantine of f.
func (s State) WithoutQuarantine(f Fingerprint) State {
	s.Quarantines = s.Quarantines.Without(f)
	return s
}

// firstKey returns the lowest key of a table of offsets.
func firstKey[V any](t Table[Offset, V]) Offset {
	for k := range t.All() {
		return k
	}
	return NoOffset
}
