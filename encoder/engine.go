package encoder

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// DecodeEngineStatus returns the status in w.
func DecodeEngineStatus(w *wire.EngineStatusResponse) buckthorndyke.EngineStatus {
	s := buckthorndyke.EngineStatus{
		Cached:       make(map[buckthorndyke.ModelID]buckthorndyke.Tier, len(w.Cached)),
		FencingToken: buckthorndyke.Offset(w.Fence),
		Incarnation:  buckthorndyke.Incarnation(w.Started),
		MemoryMB:     int(w.MemoryMb),
		Orders:       make(map[buckthorndyke.OrderID]buckthorndyke.OrderState, len(w.Orders)),
		Slots:        int(w.Slots),
	}
	for model, tier := range w.Cached {
		s.Cached[buckthorndyke.ModelID(model)] = buckthorndyke.ParseTier(tier)
	}
	for _, job := range w.Jobs {
		s.Jobs = append(s.Jobs, buckthorndyke.JobID(job))
	}
	for order, state := range w.Orders {
		s.Orders[buckthorndyke.OrderID(order)] = buckthorndyke.OrderState(state)
	}
	for _, r := range w.Residents {
		s.Residents = append(s.Residents, buckthorndyke.Resident{
			Base: buckthorndyke.ModelID(r.Base), Loading: r.Loading, MemoryMB: int(r.MemoryMb),
			Model: buckthorndyke.ModelID(r.Model),
		})
	}
	return s
}

// DecodeJob returns the job in w. An unknown rank is decoded as RankFree.
func DecodeJob(w *wire.EngineJobRequest) buckthorndyke.Job {
	rank, _ := buckthorndyke.ParseRank(w.Rank)
	return buckthorndyke.Job{
		ID: buckthorndyke.JobID(w.Id), MaxTokens: int(w.MaxTokens), Model: buckthorndyke.ModelID(w.Model),
		Prompt: w.Prompt, Rank: rank, Request: buckthorndyke.RequestID(w.Request), Resume: w.Resume,
	}
}

// DecodeOrder returns the order in w.
func DecodeOrder(w *wire.EngineOrderRequest) buckthorndyke.Order {
	return buckthorndyke.Order{
		Base: buckthorndyke.ModelID(w.Base), FencingToken: buckthorndyke.Offset(w.Fence),
		ID: buckthorndyke.OrderID(w.Id), Kind: buckthorndyke.OrderKind(w.Kind), MemoryMB: int(w.MemoryMb),
		Model: buckthorndyke.ModelID(w.Model),
	}
}

// EncodeEngineStatus returns the wire form of s.
func EncodeEngineStatus(s buckthorndyke.EngineStatus) *wire.EngineStatusResponse {
	w := &wire.EngineStatusResponse{
		Cached:   make(map[string]string, len(s.Cached)),
		Fence:    uint64(s.FencingToken),
		MemoryMb: int32(s.MemoryMB),
		Orders:   make(map[string]string, len(s.Orders)),
		Slots:    int32(s.Slots),
		Started:  uint64(s.Incarnation),
	}
	for model, tier := range s.Cached {
		w.Cached[string(model)] = tier.String()
	}
	for _, job := range s.Jobs {
		w.Jobs = append(w.Jobs, string(job))
	}
	for order, state := range s.Orders {
		w.Orders[string(order)] = string(state)
	}
	for _, r := range s.Residents {
		w.Residents = append(w.Residents, &wire.EngineResident{
			Base: string(r.Base), Loading: r.Loading, MemoryMb: int32(r.MemoryMB), Model: string(r.Model),
		})
	}
	return w
}

// EncodeJob returns the wire form of j.
func EncodeJob(j buckthorndyke.Job) *wire.EngineJobRequest {
	return &wire.EngineJobRequest{
		Id: string(j.ID), MaxTokens: int32(j.MaxTokens), Model: string(j.Model), Prompt: j.Prompt,
		Rank: j.Rank.String(), Request: string(j.Request), Resume: j.Resume,
	}
}

// EncodeOrder returns the wire form of o.
func EncodeOrder(o buckthorndyke.Order) *wire.EngineOrderRequest {
	return &wire.EngineOrderRequest{
		Base: string(o.Base), Fence: uint64(o.FencingToken), Id: string(o.ID), Kind: string(o.Kind),
		MemoryMb: int32(o.MemoryMB), Model: string(o.Model),
	}
}
