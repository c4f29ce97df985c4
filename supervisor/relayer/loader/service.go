package loader

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/translator"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// Service answers the peers' connect calls to the leader.
type Service struct {
	loader *Loader
}

// NewService returns a service that hands calls to loader.
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
	said, err := s.loader.Yield(ctx, in.Fence)
	if err != nil {
		return nil, err
	}
	return &wire.YieldResponse{InContact: said.GrantValid, QuietMs: int64(said.SinceLastOrder)}, nil
}
