package standin

import (
	"context"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// VMListFaults are the faults that a VM list injects.
type VMListFaults struct {
	// Down refuses to list VMs with the verdict NotRun.
	Down bool `json:"down"`
}

// MemoryVMList is an in-memory fake of the VM list. It implements
// buckthorndyke.VMList.
type MemoryVMList struct {
	task[*vmListState]
}

// VMListOption configures a MemoryVMList.
type VMListOption func(*vmListState)

// WithLag makes changes of the list visible only after lag.
func WithLag(lag buckthorndyke.Millis) VMListOption {
	return func(s *vmListState) { s.lag = lag }
}

// WithVMs sets the VMs that the list starts with.
func WithVMs(vms ...buckthorndyke.VM) VMListOption {
	return func(s *vmListState) { s.visible = slices.Clone(vms) }
}

// NewMemoryVMList returns a list that is empty and has no lag by default.
func NewMemoryVMList(clock buckthorndyke.Clock, opts ...VMListOption) *MemoryVMList {
	return &MemoryVMList{task: newTask(func(*mailer.Mailbox[message[*vmListState]]) *vmListState {
		s := &vmListState{clock: clock}
		for _, opt := range opts {
			opt(s)
		}
		return s
	})}
}

// List implements buckthorndyke.VMList.
func (l *MemoryVMList) List(ctx context.Context) ([]buckthorndyke.VM, error) {
	r, err := ask(ctx, &l.task, func(r mailer.Reply[result[[]buckthorndyke.VM]]) message[*vmListState] {
		return listMessage{reply: r}
	})
	if err != nil {
		return nil, err
	}
	return r.value, r.err
}

// Set replaces the VMs. The change is visible after the list's lag, or immediately
// if no VMs were set before.
func (l *MemoryVMList) Set(ctx context.Context, vms []buckthorndyke.VM) error {
	vms = slices.Clone(vms)
	return tell(ctx, &l.task, func(r mailer.Reply[acknowledged]) message[*vmListState] {
		return setVMsMessage{reply: r, vms: vms}
	})
}

// SetFaults replaces the faults of the list.
func (l *MemoryVMList) SetFaults(ctx context.Context, f VMListFaults) error {
	return tell(ctx, &l.task, func(r mailer.Reply[acknowledged]) message[*vmListState] {
		return vmListFaultsMessage{faults: f, reply: r}
	})
}

// vmListState is the state of a MemoryVMList.
type vmListState struct {
	clock   buckthorndyke.Clock
	faults  VMListFaults
	lag     buckthorndyke.Millis
	pending []vmListChange
	visible []buckthorndyke.VM
}

// advance applies the pending changes whose lag has passed.
func (s *vmListState) advance() {
	for len(s.pending) > 0 && s.pending[0].at+s.lag <= s.clock.Now() {
		s.visible = s.pending[0].vms
		s.pending = s.pending[1:]
	}
}

// vmListChange is a change that becomes visible once the lag has passed.
type vmListChange struct {
	at  buckthorndyke.Millis
	vms []buckthorndyke.VM
}

// listMessage asks a MemoryVMList for its VMs.
type listMessage struct {
	reply mailer.Reply[result[[]buckthorndyke.VM]]
}

func (m listMessage) handle(_ context.Context, s *vmListState) {
	if s.faults.Down {
		m.reply.Answer(result[[]buckthorndyke.VM]{err: buckthorndyke.NewRefusal(
			buckthorndyke.CodeServiceUnavailable, buckthorndyke.NotRun, "the VM list is down")})
		return
	}
	s.advance()
	m.reply.Answer(result[[]buckthorndyke.VM]{value: slices.Clone(s.visible)})
}

// setVMsMessage replaces the VMs of a MemoryVMList.
type setVMsMessage struct {
	reply mailer.Reply[acknowledged]
	vms   []buckthorndyke.VM
}

func (m setVMsMessage) handle(_ context.Context, s *vmListState) {
	if s.visible == nil {
		s.visible = m.vms
	} else {
		s.pending = append(s.pending, vmListChange{at: s.clock.Now(), vms: m.vms})
	}
	s.advance()
	m.reply.Answer(acknowledged{})
}

// vmListFaultsMessage replaces the faults of a MemoryVMList.
type vmListFaultsMessage struct {
	faults VMListFaults
	reply  mailer.Reply[acknowledged]
}

func (m vmListFaultsMessage) handle(_ context.Context, s *vmListState) {
	s.faults = m.faults
	m.reply.Answer(acknowledged{})
}
