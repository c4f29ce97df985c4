package encoder

import (
	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// decodeChange returns the change in w, whose encoded form is data. If the kind of
// change is unknown, it returns an UnknownChange.
func (e *Proto) decodeChange(w *wire.Proposal, data []byte) (buckthorndyke.Change, error) {
	switch c := w.GetChange().(type) {
	case *wire.Proposal_Checkpoint:
		s, err := e.DecodeState(c.Checkpoint.GetState())
		return buckthorndyke.CheckpointChange{State: s}, err
	case *wire.Proposal_FreeSlot:
		return buckthorndyke.FreeSlotChange{
			Epoch:  buckthorndyke.Offset(c.FreeSlot.GetEpoch()),
			Model:  buckthorndyke.ModelID(c.FreeSlot.GetModel()),
			Runner: buckthorndyke.RunnerID(c.FreeSlot.GetRunner()),
		}, nil
	case *wire.Proposal_Join:
		return buckthorndyke.JoinChange{Member: decodeMember(c.Join.GetMember())}, nil
	case *wire.Proposal_Leave:
		return buckthorndyke.LeaveChange{
			Draining:    c.Leave.GetDraining(),
			Incarnation: buckthorndyke.Incarnation(c.Leave.GetIncarnation()),
			VM:          buckthorndyke.VMID(c.Leave.GetVm()),
		}, nil
	case *wire.Proposal_Permit:
		return buckthorndyke.PermitChange{
			Base:    buckthorndyke.Offset(c.Permit.GetBase()),
			Model:   buckthorndyke.ModelID(c.Permit.GetModel()),
			Runners: convertStrings[buckthorndyke.RunnerID](c.Permit.GetRunners()),
		}, nil
	case *wire.Proposal_Quarantine:
		return buckthorndyke.QuarantineChange{
			Crashes:     int(c.Quarantine.GetCrashes()),
			Fingerprint: buckthorndyke.Fingerprint(c.Quarantine.GetFingerprint()),
			Model:       buckthorndyke.ModelID(c.Quarantine.GetModel()),
		}, nil
	default:
		return decodeOtherChange(w, data), nil
	}
}

// decodeOtherChange handles the kinds of changes that decodeChange does not handle
// itself. If the kind is unknown, it returns an UnknownChange.
func decodeOtherChange(w *wire.Proposal, data []byte) buckthorndyke.Change {
	switch c := w.GetChange().(type) {
	case *wire.Proposal_Release:
		return buckthorndyke.ReleaseChange{
			Epoch:     buckthorndyke.Offset(c.Release.GetEpoch()),
			NextOwner: buckthorndyke.VMID(c.Release.GetHeir()),
			Runner:    buckthorndyke.RunnerID(c.Release.GetRunner()),
		}
	case *wire.Proposal_Rules:
		return buckthorndyke.RulesChange{
			Base:     buckthorndyke.Offset(c.Rules.GetBase()),
			Operator: c.Rules.GetBy(),
			Text:     c.Rules.GetText(),
		}
	case *wire.Proposal_Take:
		return buckthorndyke.TakeChange{
			Base:      buckthorndyke.Offset(c.Take.GetBase()),
			Ownership: decodeOwnership(c.Take.GetOwnership()),
		}
	case *wire.Proposal_Withdraw:
		return buckthorndyke.WithdrawChange{
			Base:   buckthorndyke.Offset(c.Withdraw.GetBase()),
			Model:  buckthorndyke.ModelID(c.Withdraw.GetModel()),
			Runner: buckthorndyke.RunnerID(c.Withdraw.GetRunner()),
		}
	default:
		return buckthorndyke.UnknownChange{Data: data}
	}
}

// encodeChange sets the change of w to c.
func encodeChange(w *wire.Proposal, c buckthorndyke.Change) error {
	switch c := c.(type) {
	case buckthorndyke.CheckpointChange:
		w.Change = &wire.Proposal_Checkpoint{Checkpoint: &wire.CheckpointChange{State: EncodeState(c.State)}}
	case buckthorndyke.FreeSlotChange:
		w.Change = &wire.Proposal_FreeSlot{FreeSlot: &wire.FreeSlotChange{
			Epoch: uint64(c.Epoch), Model: string(c.Model), Runner: string(c.Runner),
		}}
	case buckthorndyke.JoinChange:
		w.Change = &wire.Proposal_Join{Join: &wire.JoinChange{Member: encodeMember(c.Member)}}
	case buckthorndyke.LeaveChange:
		w.Change = &wire.Proposal_Leave{Leave: &wire.LeaveChange{
			Draining: c.Draining, Incarnation: uint64(c.Incarnation), Vm: string(c.VM),
		}}
	case buckthorndyke.PermitChange:
		w.Change = &wire.Proposal_Permit{Permit: &wire.PermitChange{
			Base: uint64(c.Base), Model: string(c.Model), Runners: convertStrings[string](c.Runners),
		}}
	case buckthorndyke.QuarantineChange:
		w.Change = &wire.Proposal_Quarantine{Quarantine: &wire.QuarantineChange{
			Crashes: int32(c.Crashes), Fingerprint: string(c.Fingerprint), Model: string(c.Model),
		}}
	case buckthorndyke.ReleaseChange:
		w.Change = &wire.Proposal_Release{Release: &wire.ReleaseChange{
			Epoch: uint64(c.Epoch), Heir: string(c.NextOwner), Runner: string(c.Runner),
		}}
	case buckthorndyke.RulesChange:
		w.Change = &wire.Proposal_Rules{Rules: &wire.RulesChange{Base: uint64(c.Base), By: c.Operator, Text: c.Text}}
	case buckthorndyke.TakeChange:
		w.Change = &wire.Proposal_Take{Take: &wire.TakeChange{
			Base: uint64(c.Base), Ownership: encodeOwnership(c.Ownership),
		}}
	case buckthorndyke.WithdrawChange:
		w.Change = &wire.Proposal_Withdraw{Withdraw: &wire.WithdrawChange{
			Base: uint64(c.Base), Model: string(c.Model), Runner: string(c.Runner),
		}}
	default:
		return errors.Newf("cannot encode a change of type %T", c)
	}
	return nil
}

// convertStrings converts a list to another string type. An empty list becomes nil.
func convertStrings[T, F ~string](from []F) []T {
	if len(from) == 0 {
		return nil
	}
	to := make([]T, len(from))
	for i, f := range from {
		to[i] = T(f)
	}
	return to
}
