package encoder

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// EncodeState returns the wire form of s.
func EncodeState(s buckthorndyke.State) *wire.State {
	w := &wire.State{
		Offset:       uint64(s.Offset),
		RulesText:    s.RulesText,
		RulesVersion: uint64(s.RulesVersion),
		Unknown:      int64(s.UnknownRecords),
	}
	for _, a := range s.Audit.All() {
		w.Audit = append(w.Audit, encodeAudit(a))
	}
	for _, m := range s.Members.All() {
		w.Members = append(w.Members, encodeMember(m))
	}
	for _, o := range s.Ownerships.All() {
		w.Ownerships = append(w.Ownerships, encodeOwnership(o))
	}
	for _, p := range s.Placements.All() {
		w.Placements = append(w.Placements, encodePlacement(p))
	}
	for _, r := range s.ProposalResults.All() {
		w.Proposals = append(w.Proposals, &wire.Ruling{
			Accepted: r.Accepted, Id: string(r.ID), Offset: uint64(r.Offset), Reason: r.Reason,
		})
	}
	for _, q := range s.Quarantines.All() {
		w.Quarantines = append(w.Quarantines, &wire.Quarantine{
			Crashes: int32(q.Crashes), Fingerprint: string(q.Fingerprint), Model: string(q.Model), Offset: uint64(q.Offset),
		})
	}
	return w
}

func decodeAudit(w *wire.AuditEntry) buckthorndyke.AuditEntry {
	return buckthorndyke.AuditEntry{
		Accepted: w.GetAccepted(),
		At:       buckthorndyke.Millis(w.GetAtMs()),
		Base:     buckthorndyke.Offset(w.GetBase()),
		Diff:     slices.Clone(w.GetDifference()),
		Offset:   buckthorndyke.Offset(w.GetOffset()),
		Operator: w.GetBy(),
		Reason:   w.GetReason(),
	}
}

func decodeMember(w *wire.Member) buckthorndyke.Member {
	return buckthorndyke.Member{
		Domain:      buckthorndyke.DomainID(w.GetDomain()),
		Incarnation: buckthorndyke.Incarnation(w.GetIncarnation()),
		Leaving:     w.GetLeaving(),
		PeerAddress: w.GetPeerAddress(),
		Version:     buckthorndyke.Offset(w.GetVersion()),
		VM:          buckthorndyke.VMID(w.GetVm()),
	}
}

func decodeOwnership(w *wire.Ownership) buckthorndyke.Ownership {
	return buckthorndyke.Ownership{
		Address:            w.GetAddress(),
		ChecksFencingToken: w.GetChecksFence(),
		Domain:             buckthorndyke.DomainID(w.GetDomain()),
		Epoch:              buckthorndyke.Offset(w.GetEpoch()),
		Incarnation:        buckthorndyke.Incarnation(w.GetIncarnation()),
		MemoryMB:           int(w.GetMemoryMb()),
		Owner:              buckthorndyke.VMID(w.GetOwner()),
		PreviousOwner:      buckthorndyke.VMID(w.GetPrevious()),
		Runner:             buckthorndyke.RunnerID(w.GetRunner()),
		Slots:              int(w.GetSlots()),
		Successors:         convertStrings[buckthorndyke.VMID](w.GetSuccessors()),
	}
}

func decodePlacement(w *wire.Placement) buckthorndyke.Placement {
	p := buckthorndyke.Placement{Model: buckthorndyke.ModelID(w.GetModel()), Version: buckthorndyke.Offset(w.GetVersion())}
	for _, slot := range w.GetSlots() {
		p = p.WithSlot(buckthorndyke.ReplicaSlot{
			Runner: buckthorndyke.RunnerID(slot.GetRunner()), Withdrawn: slot.GetWithdrawn(),
		})
	}
	return p
}

// decodeStateWithoutRules returns the state in w without its rules.
func decodeStateWithoutRules(w *wire.State) buckthorndyke.State {
	s := buckthorndyke.State{Offset: buckthorndyke.Offset(w.GetOffset()), UnknownRecords: int(w.GetUnknown())}
	for _, a := range w.GetAudit() {
		s = s.WithAudit(decodeAudit(a), len(w.GetAudit()))
	}
	for _, m := range w.GetMembers() {
		s = s.WithMember(decodeMember(m))
	}
	for _, o := range w.GetOwnerships() {
		s = s.WithOwnership(decodeOwnership(o))
	}
	for _, p := range w.GetPlacements() {
		s = s.WithPlacement(decodePlacement(p))
	}
	for _, r := range w.GetProposals() {
		s = s.WithProposalResult(buckthorndyke.ProposalResult{
			Accepted: r.GetAccepted(),
			ID:       buckthorndyke.ProposalID(r.GetId()),
			Offset:   buckthorndyke.Offset(r.GetOffset()),
			Reason:   r.GetReason(),
		}, len(w.GetProposals()))
	}
	for _, q := range w.GetQuarantines() {
		s = s.WithQuarantine(buckthorndyke.Quarantine{
			Crashes:     int(q.GetCrashes()),
			Fingerprint: buckthorndyke.Fingerprint(q.GetFingerprint()),
			Model:       buckthorndyke.ModelID(q.GetModel()),
			Offset:      buckthorndyke.Offset(q.GetOffset()),
		})
	}
	return s
}

func encodeAudit(a buckthorndyke.AuditEntry) *wire.AuditEntry {
	return &wire.AuditEntry{
		Accepted:   a.Accepted,
		AtMs:       int64(a.At),
		Base:       uint64(a.Base),
		By:         a.Operator,
		Difference: a.Diff,
		Offset:     uint64(a.Offset),
		Reason:     a.Reason,
	}
}

func encodeMember(m buckthorndyke.Member) *wire.Member {
	return &wire.Member{
		Domain:      string(m.Domain),
		Incarnation: uint64(m.Incarnation),
		Leaving:     m.Leaving,
		PeerAddress: m.PeerAddress,
		Version:     uint64(m.Version),
		Vm:          string(m.VM),
	}
}

func encodeOwnership(o buckthorndyke.Ownership) *wire.Ownership {
	return &wire.Ownership{
		Address:     o.Address,
		ChecksFence: o.ChecksFencingToken,
		Domain:      string(o.Domain),
		Epoch:       uint64(o.Epoch),
		Incarnation: uint64(o.Incarnation),
		MemoryMb:    int64(o.MemoryMB),
		Owner:       string(o.Owner),
		Previous:    string(o.PreviousOwner),
		Runner:      string(o.Runner),
		Slots:       int32(o.Slots),
		Successors:  convertStrings[string](o.Successors),
	}
}

func encodePlacement(p buckthorndyke.Placement) *wire.Placement {
	w := &wire.Placement{Model: string(p.Model), Version: uint64(p.Version)}
	for _, slot := range p.Slots() {
		w.Slots = append(w.Slots, &wire.Slot{Runner: string(slot.Runner), Withdrawn: slot.Withdrawn})
	}
	return w
}
