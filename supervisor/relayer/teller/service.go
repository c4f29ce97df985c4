package teller

import (
	"context"

	"connectrpc.com/connect"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/translator"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// Service is the handler of other entry VMs' Connect calls.
type Service struct {
	crashes buckthorndyke.CrashSource
	teller  *Teller
}

// NewService returns a service that passes calls to t and crashes.
func NewService(t *Teller, crashes buckthorndyke.CrashSource) *Service {
	return &Service{crashes: crashes, teller: t}
}

// ShareCrashes implements wireconnect.SiblingServiceHandler.
func (s *Service) ShareCrashes(ctx context.Context, in *wire.CrashEvidence) (*wire.CrashEvidence, error) {
	if err := s.crashes.HandleCrashEvidence(ctx, translator.CrashEvidenceFromWire(in)); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	out, _, err := s.crashes.CrashEvidence(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return translator.CrashEvidenceToWire(out), nil
}

// TellList implements wireconnect.SiblingServiceHandler.
func (s *Service) TellList(ctx context.Context, in *wire.ListRequest) (*wire.ListResponse, error) {
	out, err := s.teller.ListCopy(ctx, translator.ListQueryFromWire(in))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return translator.ListCopyToWire(out, s.teller.clock.Now()), nil
}

// TellRouting implements wireconnect.SiblingServiceHandler.
func (s *Service) TellRouting(ctx context.Context, in *wire.RoutingRequest) (*wire.RoutingResponse, error) {
	out, err := s.teller.RoutingCopy(ctx, buckthorndyke.RoutingQuery{Address: in.Address, Hops: int(in.Hops), Version: in.Version})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return &wire.RoutingResponse{Ask: out.Ask, Record: out.Encoded}, nil
}

// Tell implements wireconnect.SiblingServiceHandler.
func (s *Service) Tell(ctx context.Context, _ *wire.TellRequest) (*wire.TellResponse, error) {
	snapshot, err := s.teller.DirectorySnapshot(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return translator.DirectorySnapshotToWire(snapshot), nil
}
