package translator

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// DemandFromWire returns the demand in m.
func DemandFromWire(m *wire.DemandRequest) buckthorndyke.DemandReport {
	out := buckthorndyke.DemandReport{ListMark: m.ListMark, Loads: loadsFromWire(m.Loads)}
	for _, e := range m.Evidence {
		out.Evidence = append(out.Evidence, buckthorndyke.Evidence{
			Failed: int(e.Failed), Served: int(e.Served), Server: buckthorndyke.RunnerID(e.Server),
		})
	}
	for _, l := range m.Demand {
		out.Waiting = out.Waiting || l.Waiting > 0
		out.Lines = append(out.Lines, buckthorndyke.DemandLine{
			Arrivals: int(l.Arrivals),
			Due:      buckthorndyke.Millis(l.DueMs),
			Key:      modelKeyFromWire(l),
			Running:  int(l.Running),
			Waiting:  int(l.Waiting),
		})
	}
	return out
}

// DemandToWire returns the message that reports the demand that vm sees.
func DemandToWire(vm buckthorndyke.VMID, r buckthorndyke.DemandReport) *wire.DemandRequest {
	out := &wire.DemandRequest{ListMark: r.ListMark, Loads: loadsToWire(r.Loads), Vm: string(vm)}
	for _, e := range r.Evidence {
		out.Evidence = append(out.Evidence, &wire.Evidence{
			Failed: int32(e.Failed), Served: int32(e.Served), Server: string(e.Server),
		})
	}
	for _, l := range r.Lines {
		out.Demand = append(out.Demand, &wire.DemandLine{
			Adapter:  l.Key.Adapter,
			Arrivals: int32(l.Arrivals),
			DueMs:    int64(l.Due),
			Model:    string(l.Key.Model),
			Running:  int32(l.Running),
			Service:  string(l.Key.Service),
			Waiting:  int32(l.Waiting),
		})
	}
	return out
}

// DemandReplyFromWire returns the leader's answer in m.
func DemandReplyFromWire(m *wire.DemandResponse) buckthorndyke.DemandReply {
	out := buckthorndyke.DemandReply{
		AskRecent: m.AskRecent, AtOnce: int(m.AtOnce), Contest: m.Contest, Fleet: int(m.Fleet), Leading: m.Leading, List: noticeFromWire(m.List),
		ListChange: listChangeFromWire(m.ListChange), Loads: loadsFromWire(m.Loads),
		Routing: noticeFromWire(m.Routing), Suspects: fromStrings[buckthorndyke.RunnerID](m.Suspects),
	}
	for _, e := range m.Expected {
		out.Expected = append(out.Expected, buckthorndyke.Expectation{
			In: buckthorndyke.Millis(e.InMs), Key: modelKeyFromWire(e),
		})
	}
	for _, r := range m.Residences {
		out.Residences = append(out.Residences, buckthorndyke.Residence{
			Closed:   fromStrings[buckthorndyke.ModelID](r.Closed),
			Holdings: holdingsFromWire(r.Holdings),
			Runner:   buckthorndyke.RunnerID(r.Runner),
			Started:  buckthorndyke.Incarnation(r.Started),
		})
	}
	return out
}

// DemandReplyToWire returns the message that carries the leader's answer.
func DemandReplyToWire(r buckthorndyke.DemandReply) *wire.DemandResponse {
	out := &wire.DemandResponse{
		AskRecent: r.AskRecent, AtOnce: int32(r.AtOnce), Contest: r.Contest, Fleet: int32(r.Fleet), Leading: r.Leading, List: noticeToWire(r.List),
		ListChange: listChangeToWire(r.ListChange), Loads: loadsToWire(r.Loads),
		Routing: noticeToWire(r.Routing), Suspects: toStrings(r.Suspects),
	}
	for _, e := range r.Expected {
		out.Expected = append(out.Expected, &wire.Expectation{
			Adapter: e.Key.Adapter, InMs: int64(e.In), Model: string(e.Key.Model), Service: string(e.Key.Service),
		})
	}
	for _, in := range r.Residences {
		out.Residences = append(out.Residences, &wire.Residence{
			Closed: toStrings(in.Closed), Holdings: holdingsToWire(in.Holdings), Runner: string(in.Runner), Started: uint64(in.Started),
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

// noticeFromWire returns the notice in m.
func noticeFromWire(m *wire.Notice) buckthorndyke.Notice {
	return buckthorndyke.Notice{Age: buckthorndyke.Millis(m.GetAgeMs()), Mark: m.GetMark()}
}

// noticeToWire returns the message that carries n.
func noticeToWire(n buckthorndyke.Notice) *wire.Notice {
	return &wire.Notice{AgeMs: int64(n.Age), Mark: n.Mark}
}

// loadsFromWire returns the loads in list.
func loadsFromWire(list []*wire.ServerLoad) []buckthorndyke.ServerLoad {
	var out []buckthorndyke.ServerLoad
	for _, l := range list {
		out = append(out, buckthorndyke.ServerLoad{Requests: int(l.Requests), Server: buckthorndyke.RunnerID(l.Server)})
	}
	return out
}

// loadsToWire returns the messages that carry list.
func loadsToWire(list []buckthorndyke.ServerLoad) []*wire.ServerLoad {
	var out []*wire.ServerLoad
	for _, l := range list {
		out = append(out, &wire.ServerLoad{Requests: int32(l.Requests), Server: string(l.Server)})
	}
	return out
}
