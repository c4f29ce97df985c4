package translator

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// LoadRequestFromWire returns the request in m.
func LoadRequestFromWire(m *wire.AcquireLoadRequest) buckthorndyke.LoadRequest {
	rank, _ := buckthorndyke.ParseRank(m.GetRank())
	return buckthorndyke.LoadRequest{
		Adapter: m.GetAdapter(),
		Model:   buckthorndyke.ModelID(m.GetModel()),
		Rank:    rank,
		Runner:  buckthorndyke.RunnerID(m.GetRunner()),
	}
}

// LoadRequestToWire returns the message that carries r.
func LoadRequestToWire(r buckthorndyke.LoadRequest) *wire.AcquireLoadRequest {
	return &wire.AcquireLoadRequest{
		Adapter: r.Adapter,
		Model:   string(r.Model),
		Rank:    r.Rank.String(),
		Runner:  string(r.Runner),
	}
}

// ProbeReplyFromWire returns the reply in m.
func ProbeReplyFromWire(m *wire.ProbeResponse) buckthorndyke.ProbeReply {
	return buckthorndyke.ProbeReply{
		Incarnation:  buckthorndyke.Incarnation(m.GetIncarnation()),
		Offset:       buckthorndyke.Offset(m.GetOffset()),
		Ready:        m.GetReady(),
		RulesVersion: buckthorndyke.Offset(m.GetRulesVersion()),
		Suspects:     fromStrings[buckthorndyke.VMID](m.GetSuspects()),
	}
}

// ProbeReplyToWire returns the message that carries r.
func ProbeReplyToWire(r buckthorndyke.ProbeReply) *wire.ProbeResponse {
	return &wire.ProbeResponse{
		Incarnation:  uint64(r.Incarnation),
		Offset:       uint64(r.Offset),
		Ready:        r.Ready,
		RulesVersion: uint64(r.RulesVersion),
		Suspects:     toStrings(r.Suspects),
	}
}

// ProbeRequestFromWire returns the request in m.
func ProbeRequestFromWire(m *wire.ProbeRequest) buckthorndyke.ProbeRequest {
	return buckthorndyke.ProbeRequest{
		From:        buckthorndyke.VMID(m.GetFrom()),
		Incarnation: buckthorndyke.Incarnation(m.GetIncarnation()),
		Offset:      buckthorndyke.Offset(m.GetOffset()),
		Suspects:    fromStrings[buckthorndyke.VMID](m.GetSuspects()),
	}
}

// ProbeRequestToWire returns the message that carries r.
func ProbeRequestToWire(r buckthorndyke.ProbeRequest) *wire.ProbeRequest {
	return &wire.ProbeRequest{
		From:        string(r.From),
		Incarnation: uint64(r.Incarnation),
		Offset:      uint64(r.Offset),
		Suspects:    toStrings(r.Suspects),
	}
}

// PromiseRequestFromWire returns the request in m.
func PromiseRequestFromWire(m *wire.PromiseRequest) buckthorndyke.PromiseRequest {
	return buckthorndyke.PromiseRequest{
		Epoch:  buckthorndyke.Offset(m.GetEpoch()),
		For:    buckthorndyke.Millis(m.GetForMs()),
		Owner:  buckthorndyke.VMID(m.GetOwner()),
		Runner: buckthorndyke.RunnerID(m.GetRunner()),
	}
}

// PromiseRequestToWire returns the message that carries r.
func PromiseRequestToWire(r buckthorndyke.PromiseRequest) *wire.PromiseRequest {
	return &wire.PromiseRequest{
		Epoch:  uint64(r.Epoch),
		ForMs:  int64(r.For),
		Owner:  string(r.Owner),
		Runner: string(r.Runner),
	}
}
