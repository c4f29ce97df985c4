package translator

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// DemandReplyFromWire returns the leader's reply in m.
func DemandReplyFromWire(m *wire.DemandResponse) buckthorndyke.DemandReply {
	out := buckthorndyke.DemandReply{
		Allotments:         allotmentGrantsFromWire(m.Allotments),
		Crashes:            CrashEvidenceFromWire(m.Crashes),
		FullSpeedLoads:     int(m.AtOnce),
		LeaderPosition:     m.LeaderPosition,
		Leading:            m.Leading,
		List:               versionNoticeFromWire(m.List),
		ListChange:         listChangeFromWire(m.ListChange),
		ReportingVMs:       int(m.Fleet),
		Routing:            versionNoticeFromWire(m.Routing),
		ServerLoads:        serverLoadsFromWire(m.Loads),
		ShouldCampaign:     m.Contest,
		Suspects:           fromStrings[buckthorndyke.RunnerID](m.Suspects),
		WantRecentArrivals: m.AskRecent,
	}
	for _, e := range m.Expected {
		out.LoadEstimates = append(out.LoadEstimates, buckthorndyke.LoadEstimate{
			Key: modelKeyFromWire(e), ReadyIn: buckthorndyke.Millis(e.InMs),
		})
	}
	for _, r := range m.Residences {
		out.RunnerModels = append(out.RunnerModels, buckthorndyke.RunnerModels{
			Incarnation:  buckthorndyke.Incarnation(r.Started),
			LoadedModels: loadedModelsFromWire(r.Holdings),
			Runner:       buckthorndyke.RunnerID(r.Runner),
			Unloading:    fromStrings[buckthorndyke.ModelID](r.Closed),
		})
	}
	return out
}

// DemandReplyToWire returns the message that carries r.
func DemandReplyToWire(r buckthorndyke.DemandReply) *wire.DemandResponse {
	out := &wire.DemandResponse{
		Allotments:     allotmentGrantsToWire(r.Allotments),
		AskRecent:      r.WantRecentArrivals,
		LeaderPosition: r.LeaderPosition,
		AtOnce:         int32(r.FullSpeedLoads),
		Contest:        r.ShouldCampaign,
		Crashes:        CrashEvidenceToWire(r.Crashes),
		Fleet:          int32(r.ReportingVMs),
		Leading:        r.Leading,
		List:           versionNoticeToWire(r.List),
		ListChange:     listChangeToWire(r.ListChange),
		Loads:          serverLoadsToWire(r.ServerLoads),
		Routing:        versionNoticeToWire(r.Routing),
		Suspects:       toStrings(r.Suspects),
	}
	for _, e := range r.LoadEstimates {
		out.Expected = append(out.Expected, &wire.Expectation{
			Adapter: e.Key.Adapter, InMs: int64(e.ReadyIn), Model: string(e.Key.Model), Service: string(e.Key.Service),
		})
	}
	for _, models := range r.RunnerModels {
		out.Residences = append(out.Residences, &wire.Residence{
			Closed: toStrings(models.Unloading), Holdings: loadedModelsToWire(models.LoadedModels), Runner: string(models.Runner), Started: uint64(models.Incarnation),
		})
	}
	return out
}

// DemandReportFromWire returns the report in m.
func DemandReportFromWire(m *wire.DemandRequest) buckthorndyke.DemandReport {
	out := buckthorndyke.DemandReport{
		Allotments: allotmentUsesFromWire(m.Allotments), Crashes: CrashEvidenceFromWire(m.Crashes), CrashesSeen: m.CrashesSeen,
		Incarnation: buckthorndyke.Incarnation(m.Started), LeaderPosition: m.LeaderPosition, ListVersionTag: m.ListMark,
		Granted: m.Granted, Number: m.Report, ServerLoads: serverLoadsFromWire(m.Loads),
	}
	for _, a := range m.Evidence {
		out.Attempts = append(out.Attempts, buckthorndyke.AttemptCounts{
			Failed: int(a.Failed), Served: int(a.Served), Server: buckthorndyke.RunnerID(a.Server),
		})
	}
	for _, e := range m.Demand {
		out.Waiting = out.Waiting || e.Waiting > 0
		out.Entries = append(out.Entries, buckthorndyke.DemandEntry{
			Arrivals: int(e.Arrivals),
			Key:      modelKeyFromWire(e),
			Priority: int(e.Priority),
			Running:  int(e.Running),
			TimeLeft: buckthorndyke.Millis(e.DueMs),
			Waiting:  int(e.Waiting),
		})
	}
	return out
}

// DemandReportToWire returns the message that carries the report r of vm.
func DemandReportToWire(vm buckthorndyke.VMID, r buckthorndyke.DemandReport) *wire.DemandRequest {
	out := &wire.DemandRequest{
		Allotments: allotmentUsesToWire(r.Allotments), Crashes: CrashEvidenceToWire(r.Crashes), CrashesSeen: r.CrashesSeen,
		LeaderPosition: r.LeaderPosition, ListMark: r.ListVersionTag, Loads: serverLoadsToWire(r.ServerLoads), Granted: r.Granted,
		Report: r.Number, Started: uint64(r.Incarnation), Vm: string(vm),
	}
	for _, a := range r.Attempts {
		out.Evidence = append(out.Evidence, &wire.Evidence{
			Failed: int32(a.Failed), Served: int32(a.Served), Server: string(a.Server),
		})
	}
	for _, e := range r.Entries {
		out.Demand = append(out.Demand, &wire.DemandLine{
			Adapter:  e.Key.Adapter,
			Arrivals: int32(e.Arrivals),
			DueMs:    int64(e.TimeLeft),
			Model:    string(e.Key.Model),
			Priority: int32(e.Priority),
			Running:  int32(e.Running),
			Service:  string(e.Key.Service),
			Waiting:  int32(e.Waiting),
		})
	}
	return out
}

// modelKeyFromWire returns the key in m.
func modelKeyFromWire(m interface {
	GetAdapter() string
	GetModel() string
	GetService() string
},
) buckthorndyke.ModelKey {
	return buckthorndyke.ModelKey{
		Adapter: m.GetAdapter(), Model: buckthorndyke.ModelID(m.GetModel()), Service: buckthorndyke.ServiceID(m.GetService()),
	}
}

// serverLoadsFromWire returns the server loads in list.
func serverLoadsFromWire(list []*wire.ServerLoad) []buckthorndyke.ServerLoad {
	var out []buckthorndyke.ServerLoad
	for _, l := range list {
		out = append(out, buckthorndyke.ServerLoad{
			PromptTokens: int(l.PromptTokens), Requests: int(l.Requests), Server: buckthorndyke.RunnerID(l.Server),
		})
	}
	return out
}

// serverLoadsToWire returns the messages that carry list.
func serverLoadsToWire(list []buckthorndyke.ServerLoad) []*wire.ServerLoad {
	var out []*wire.ServerLoad
	for _, l := range list {
		out = append(out, &wire.ServerLoad{PromptTokens: int64(l.PromptTokens), Requests: int32(l.Requests), Server: string(l.Server)})
	}
	return out
}

// versionNoticeFromWire returns the notice in m.
func versionNoticeFromWire(m *wire.Notice) buckthorndyke.VersionNotice {
	return buckthorndyke.VersionNotice{
		Age: buckthorndyke.Millis(m.GetAgeMs()), Era: m.GetEra(), EraAge: buckthorndyke.Millis(m.GetEraAgeMs()), VersionTag: m.GetMark(),
	}
}

// versionNoticeToWire returns the message that carries n.
func versionNoticeToWire(n buckthorndyke.VersionNotice) *wire.Notice {
	return &wire.Notice{AgeMs: int64(n.Age), Era: n.Era, EraAgeMs: int64(n.EraAge), Mark: n.VersionTag}
}
