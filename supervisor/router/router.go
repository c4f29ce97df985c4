package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// Router implements buckthorndyke.Gateway.
type Router struct {
	box      *mailer.Mailbox[message]
	claims   buckthorndyke.ClaimStore
	clock    buckthorndyke.Clock
	engines  buckthorndyke.Engines
	follower buckthorndyke.Follower
	options  options
	peers    buckthorndyke.Peers
	proposer buckthorndyke.Proposer
	self     buckthorndyke.Self
	service  buckthorndyke.Service
	// state is only used by the task that runs Serve. It is kept when that task is
	// restarted.
	state routerState
	// surveys holds the requests that wait for the survey of a model's runners. It is
	// only used by the task that runs Serve.
	surveys map[buckthorndyke.ModelID][]mailer.Reply[routerState]
	vmList  buckthorndyke.VMList
}

// New returns a router for the VM that self describes. It serves requests only while
// Serve runs.
func New(
	self buckthorndyke.Self,
	follower buckthorndyke.Follower,
	proposer buckthorndyke.Proposer,
	peers buckthorndyke.Peers,
	engines buckthorndyke.Engines,
	service buckthorndyke.Service,
	claims buckthorndyke.ClaimStore,
	vmList buckthorndyke.VMList,
	clock buckthorndyke.Clock,
	opts ...Option,
) *Router {
	o := options{
		callTimeout:    defaultCallTimeout,
		localPeers:     make(map[buckthorndyke.VMID]buckthorndyke.Peer),
		meter:          noMeter{},
		stallTimeout:   defaultStallTimeout,
		vmListInterval: defaultVMListInterval,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return &Router{
		box:      mailer.NewMailbox[message](),
		claims:   claims,
		clock:    clock,
		engines:  engines,
		follower: follower,
		options:  o,
		peers:    peers,
		proposer: proposer,
		self:     self,
		service:  service,
		state:    newRouterState(),
		surveys:  make(map[buckthorndyke.ModelID][]mailer.Reply[routerState]),
		vmList:   vmList,
	}
}

// Serve implements suture.Service.
func (r *Router) Serve(ctx context.Context) error {
	updates := r.follower.Subscribe(ctx)
	// The surveys of an earlier run of this task ended with its context.
	clear(r.surveys)
	go r.pollVMList(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case u, ok := <-updates:
			if !ok {
				updates = nil
				continue
			}
			r.state = r.state.withUpdate(u)
		case m := <-r.box.Receive():
			r.state = m.apply(r.state)
			if a, ok := m.(action); ok {
				a.act(ctx, r)
			}
		}
	}
}

// currentState returns the current state.
func (r *Router) currentState(ctx context.Context) (routerState, error) {
	return mailer.Ask(ctx, r.box, func(reply mailer.Reply[routerState]) message {
		return stateMessage{reply: reply}
	})
}

// peer returns the peer that runs on the member's VM.
func (r *Router) peer(m buckthorndyke.Member) buckthorndyke.Peer {
	if local, ok := r.options.localPeers[m.VM]; ok {
		return local
	}
	return r.peers.At(m.PeerAddress)
}

// pollVMList reads the VM list at intervals until ctx ends. If a read fails, the last
// list remains in use.
func (r *Router) pollVMList(ctx context.Context) {
	for {
		vms, err := r.vmList.List(ctx)
		if err == nil && r.box.Send(ctx, vmsMessage{vms: vms}) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(r.options.vmListInterval):
		}
	}
}

// readyState returns the current state, or a refusal if this VM has not caught up with
// the control stream.
func (r *Router) readyState(ctx context.Context) (routerState, error) {
	st, err := r.currentState(ctx)
	if err != nil {
		return st, refuse(buckthorndyke.CodeCallerGone, "the caller canceled the request")
	}
	if !st.update.CaughtUp {
		return st, refuse(buckthorndyke.CodeNotReady, "this entry VM has not caught up with the control stream yet")
	}
	return st, nil
}

// refuse returns a refusal with the verdict NotRun.
func refuse(code buckthorndyke.Code, message string) *buckthorndyke.RefusalError {
	return buckthorndyke.NewRefusal(code, buckthorndyke.NotRun, message)
}
