package operator

import (
	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
)

func applyAnswer(r ApplyResult) ApplyResponse {
	answer := ApplyResponse{Accepted: r.Accepted, AlreadyInForce: r.AlreadyInForce, Reason: r.Reason, Version: r.Version}
	if r.Winner != nil {
		winner := auditItem(*r.Winner)
		answer.Winner = &winner
	}
	return answer
}

func auditAnswer(entries []buckthorndyke.AuditEntry) AuditResponse {
	answer := AuditResponse{Entries: []AuditItem{}}
	for _, e := range entries {
		answer.Entries = append(answer.Entries, auditItem(e))
	}
	return answer
}

func auditItem(e buckthorndyke.AuditEntry) AuditItem {
	return AuditItem{
		Accepted: e.Accepted,
		At:       e.At,
		Base:     e.Base,
		By:       e.Operator,
		Diff:     append([]string{}, e.Diff...),
		Offset:   e.Offset,
		Reason:   e.Reason,
	}
}

// errorAnswer returns the body that reports err, and the refusal it comes from.
func errorAnswer(err error) (ErrorResponse, *buckthorndyke.RefusalError) {
	var faults *buckthorndyke.FaultsError
	if !errors.As(err, &faults) {
		r := buckthorndyke.RefusalOf(err)
		return ErrorResponse{Error: ErrorDetail{Code: r.Code(), Message: r.Message(), Verdict: r.Verdict().String()}}, r
	}
	r := buckthorndyke.NewRefusal(buckthorndyke.CodeBadRequest, faults.Verdict(), "the rules have faults; nothing was applied")
	answer, _ := errorAnswer(r)
	for _, f := range faults.Faults() {
		answer.Faults = append(answer.Faults, FaultItem(f))
	}
	return answer, r
}

func placementItem(p buckthorndyke.Placement) PlacementItem {
	item := PlacementItem{Model: p.Model, Runners: []buckthorndyke.RunnerID{}, Withdrawn: []buckthorndyke.RunnerID{}}
	for _, s := range p.Slots() {
		if s.Withdrawn {
			item.Withdrawn = append(item.Withdrawn, s.Runner)
			continue
		}
		item.Runners = append(item.Runners, s.Runner)
	}
	return item
}

func runnerItem(o buckthorndyke.Ownership) RunnerItem {
	return RunnerItem{
		Address:            o.Address,
		ChecksFencingToken: o.ChecksFencingToken,
		Domain:             o.Domain,
		Epoch:              o.Epoch,
		Owner:              o.Owner,
		Runner:             o.Runner,
	}
}

func statusAnswer(s Status) StatusResponse {
	state := s.Update.State
	answer := StatusResponse{
		CaughtUp:       s.Update.CaughtUp,
		LogDown:        s.Update.LogDown,
		Members:        []MemberItem{},
		Offset:         state.Offset,
		Placements:     []PlacementItem{},
		RulesVersion:   state.RulesVersion,
		Runners:        []RunnerItem{},
		UnknownRecords: state.UnknownRecords,
		VMs:            vmItems(s.VMs),
	}
	for _, m := range state.Members.All() {
		answer.Members = append(answer.Members, MemberItem{
			Domain: m.Domain, Incarnation: m.Incarnation, Leaving: m.Leaving, PeerAddress: m.PeerAddress, VM: m.VM,
		})
	}
	for _, o := range state.Ownerships.All() {
		answer.Runners = append(answer.Runners, runnerItem(o))
	}
	for _, p := range state.Placements.All() {
		answer.Placements = append(answer.Placements, placementItem(p))
	}
	return answer
}

func vmItems(vms buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion]) []VMItem {
	items := []VMItem{}
	for _, v := range vms.All() {
		item := VMItem{RulesVersion: v.Version, VM: v.VM}
		if v.Err != nil {
			item.Error = v.Err.Error()
		}
		items = append(items, item)
	}
	return items
}
