package loader

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/translator"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// Service handles the calls of other VMs to the leader.
type Service struct {
	loader *Loader
}

// NewService returns a service that passes calls to loader.
func NewService(loader *Loader) *Service {
	return &Service{loader: loader}
}

// Report implements wireconnect.LeaderServiceHandler.
func (s *Service) Report(ctx context.Context, in *wire.DemandRequest) (*wire.DemandResponse, error) {
	reply, err := s.loader.Report(ctx, buckthorndyke.VMID(in.Vm), translator.DemandReportFromWire(in))
	if err != nil {
		return nil, err
	}
	return translator.DemandReplyToWire(reply), nil
}

// Yield implements wireconnect.LeaderServiceHandler.
func (s *Service) Yield(ctx context.Context, in *wire.YieldRequest) (*wire.YieldResponse, error) {
	reply, err := s.loader.Yield(ctx, in.Fence)
	if err != nil {
		return nil, err
	}
	return &wire.YieldResponse{InContact: reply.GrantValid, QuietMs: int64(reply.SinceLastOrder)}, nil
}
