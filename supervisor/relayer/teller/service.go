package teller

import (
	"context"

	"connectrpc.com/connect"

	"github.com/buckthorndyke/buckthorndyke/translator"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// Service is the handler of other entry VMs' Connect calls.
type Service struct {
	teller *Teller
}

// NewService returns a service that passes calls to t.
func NewService(t *Teller) *Service {
	return &Service{teller: t}
}

// Tell implements wireconnect.SiblingServiceHandler.
func (s *Service) Tell(ctx context.Context, _ *wire.TellRequest) (*wire.TellResponse, error) {
	snapshot, err := s.teller.DirectorySnapshot(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return translator.DirectorySnapshotToWire(snapshot), nil
}
