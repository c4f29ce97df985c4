package tester

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// linkLog is the log service as one process reaches it.
type processLog struct {
	log     buckthorndyke.Log
	process *Process
}

// Append implements buckthorndyke.Log.
func (l *processLog) Append(
	ctx context.Context, stream buckthorndyke.Stream, data []byte,
) (buckthorndyke.Offset, error) {
	p := CallEvent{Call: CallAppend, Request: data, Stream: stream}
	return callThrough(ctx, []*Process{l.process}, p, func(ctx context.Context) (buckthorndyke.Offset, error) {
		return l.log.Append(ctx, stream, data)
	})
}

// Read implements buckthorndyke.Log.
func (l *processLog) Read(
	ctx context.Context, stream buckthorndyke.Stream, from buckthorndyke.Offset, wait buckthorndyke.Millis,
) (buckthorndyke.LogBatch, error) {
	p := CallEvent{Call: CallRead, Stream: stream}
	return callThrough(ctx, []*Process{l.process}, p, func(ctx context.Context) (buckthorndyke.LogBatch, error) {
		return l.log.Read(ctx, stream, from, wait)
	})
}

// linkService is the plain services as one process reaches them.
type processService struct {
	process *Process
	service buckthorndyke.Service
}

// Call implements buckthorndyke.Service.
func (s *processService) Call(
	ctx context.Context, address string, call buckthorndyke.ServiceCall,
) (buckthorndyke.ServiceResponse, error) {
	p := CallEvent{Address: address, Call: CallService, Request: call}
	return callThrough(ctx, []*Process{s.process}, p, func(ctx context.Context) (buckthorndyke.ServiceResponse, error) {
		return s.service.Call(ctx, address, call)
	})
}

// linkVMList is the VM list as one process reaches it.
type processVMList struct {
	list    buckthorndyke.VMList
	process *Process
}

// List implements buckthorndyke.VMList.
func (l *processVMList) List(ctx context.Context) ([]buckthorndyke.VM, error) {
	return callThrough(ctx, []*Process{l.process}, CallEvent{Call: CallList}, l.list.List)
}
