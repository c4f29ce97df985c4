package operator

import (
	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
)

func applyResponse(r ApplyResult) ApplyResponse {
	response := ApplyResponse{Accepted: r.Accepted, AlreadyInForce: r.AlreadyInForce, Reason: r.Reason, Version: r.Version}
	if r.Winner != nil {
		winner := auditItem(*r.Winner)
		response.Winner = &winner
	}
	return response
}

func auditResponse(entries []buckthorndyke.AuditEntry) AuditResponse {
	response := AuditResponse{Entries: []AuditItem{}}
	for _, e := range entries {
		response.Entries = append(response.Entries, auditItem(e))
	}
	return response
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

// errorResponse returns the response body that reports err, and the refusal that
// the body and the status code are made from. Faults in rules are reported as a
// bad request.
func errorResponse(err error) (ErrorResponse, *buckthorndyke.RefusalError) {
	var faults *buckthorndyke.FaultsError
	if !errors.As(err, &faults) {
		r := buckthorndyke.RefusalOf(err)
		return ErrorResponse{Error: ErrorDetail{Code: r.Code(), Message: r.Message(), Verdict: r.Verdict().String()}}, r
	}
	r := buckthorndyke.NewRefusal(buckthorndyke.CodeBadRequest, faults.Verdict(), "the rules were not applied because they have faults")
	response, _ := errorResponse(r)
	for _, f := range faults.Faults() {
		response.Faults = append(response.Faults, FaultItem(f))
	}
	return response, r
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

func statusResponse(s Status) StatusResponse {
	state := s.Update.State
	response := StatusResponse{
		Callers:        []CallerItem{},
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
	for _, c := range state.Rules.Callers.All() {
		response.Callers = append(response.Callers, CallerItem{Caller: c.ID, Rank: c.Rank.String()})
	}
	for _, m := range state.Members.All() {
		response.Members = append(response.Members, MemberItem{
			Domain: m.Domain, Incarnation: m.Incarnation, Leaving: m.Leaving, PeerAddress: m.PeerAddress, VM: m.VM,
		})
	}
	for _, o := range state.Ownerships.All() {
		response.Runners = append(response.Runners, runnerItem(o))
	}
	for _, p := range state.Placements.All() {
		response.Placements = append(response.Placements, placementItem(p))
	}
	return response
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
