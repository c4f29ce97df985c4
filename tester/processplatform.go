package tester

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// processLog gives one process access to the log service.
type processLog struct {
	log     buckthorndyke.Log
	process *Process
}

// Append implements buckthorndyke.Log.
func (l *processLog) Append(
	ctx context.Context, stream buckthorndyke.Stream, data []byte,
) (buckthorndyke.Offset, error) {
	event := CallEvent{Call: CallAppend, Request: data, Stream: stream}
	return callThrough(ctx, []*Process{l.process}, event, func(ctx context.Context) (buckthorndyke.Offset, error) {
		return l.log.Append(ctx, stream, data)
	})
}

// Read implements buckthorndyke.Log.
func (l *processLog) Read(
	ctx context.Context, stream buckthorndyke.Stream, from buckthorndyke.Offset, wait buckthorndyke.Millis,
) (buckthorndyke.LogBatch, error) {
	event := CallEvent{Call: CallRead, Stream: stream}
	return callThrough(ctx, []*Process{l.process}, event, func(ctx context.Context) (buckthorndyke.LogBatch, error) {
		return l.log.Read(ctx, stream, from, wait)
	})
}

// processService gives one process access to the plain services.
type processService struct {
	process *Process
	service buckthorndyke.Service
}

// Call implements buckthorndyke.Service.
func (s *processService) Call(
	ctx context.Context, address string, call buckthorndyke.ServiceCall,
) (buckthorndyke.ServiceResponse, error) {
	event := CallEvent{Address: address, Call: CallService, Request: call}
	return callThrough(ctx, []*Process{s.process}, event, func(ctx context.Context) (buckthorndyke.ServiceResponse, error) {
		return s.service.Call(ctx, address, call)
	})
}

// processVMList gives one process access to the VM list.
type processVMList struct {
	list    buckthorndyke.VMList
	process *Process
}

// List implements buckthorndyke.VMList.
func (l *processVMList) List(ctx context.Context) ([]buckthorndyke.VM, error) {
	return callThrough(ctx, []*Process{l.process}, CallEvent{Call: CallList}, l.list.List)
}
