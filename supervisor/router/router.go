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
	// knowledge belongs to the task that runs Serve. It outlives a restart.
	knowledge knowledge
	options   options
	peers     buckthorndyke.Peers
	proposer  buckthorndyke.Proposer
	self      buckthorndyke.Self
	service   buckthorndyke.Service
	// surveys holds the requests that wait for the survey of a model. It belongs
	// to the task that runs Serve.
	surveys map[buckthorndyke.ModelID][]mailer.Reply[knowledge]
	vmlist  buckthorndyke.VMList
}

// New returns a router for the VM that self describes. It answers while Serve
// runs.
func New(
	self buckthorndyke.Self,
	follower buckthorndyke.Follower,
	proposer buckthorndyke.Proposer,
	peers buckthorndyke.Peers,
	engines buckthorndyke.Engines,
	service buckthorndyke.Service,
	claims buckthorndyke.ClaimStore,
	vmlist buckthorndyke.VMList,
	clock buckthorndyke.Clock,
	opts ...Option,
) *Router {
	o := options{
		callTimeout:  defaultCallTimeout,
		local:        make(map[buckthorndyke.VMID]buckthorndyke.Peer),
		meter:        noMeter{},
		stallTimeout: defaultStallTimeout,
		vmInterval:   defaultVMInterval,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return &Router{
		box:       mailer.NewMailbox[message](),
		claims:    claims,
		clock:     clock,
		engines:   engines,
		follower:  follower,
		knowledge: newKnowledge(),
		options:   o,
		peers:     peers,
		proposer:  proposer,
		self:      self,
		service:   service,
		surveys:   make(map[buckthorndyke.ModelID][]mailer.Reply[knowledge]),
		vmlist:    vmlist,
	}
}

// Serve implements suture.Service.
func (r *Router) Serve(ctx context.Context) error {
	progress := r.follower.Subscribe(ctx)
	// Surveys of an earlier run of this task have ended with it.
	clear(r.surveys)
	go r.watchVMs(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case p, ok := <-progress:
			if !ok {
				progress = nil
				continue
			}
			r.knowledge = r.knowledge.withProgress(p)
		case m := <-r.box.Receive():
			r.knowledge = m.apply(r.knowledge)
			if a, ok := m.(action); ok {
				a.act(ctx, r)
			}
		}
	}
}

// know returns the newest knowledge.
func (r *Router) know(ctx context.Context) (knowledge, error) {
	return mailer.Ask(ctx, r.box, func(reply mailer.Reply[knowledge]) message {
		return knowMessage{reply: reply}
	})
}

// peer returns the peer on a member's VM.
func (r *Router) peer(m buckthorndyke.Member) buckthorndyke.Peer {
	if local, ok := r.options.local[m.VM]; ok {
		return local
	}
	return r.peers.At(m.PeerAddress)
}

// ready returns the newest knowledge once it suffices to serve callers.
func (r *Router) ready(ctx context.Context) (knowledge, error) {
	k, err := r.know(ctx)
	if err != nil {
		return k, refuse(buckthorndyke.CodeCallerGone, "the caller left")
	}
	if !k.progress.CaughtUp {
		return k, refuse(buckthorndyke.CodeNotReady, "this entry VM does not know the newest state yet")
	}
	return k, nil
}

// watchVMs reads the VM list at intervals until ctx ends. While the list does
// not answer the last one stays in use.
func (r *Router) watchVMs(ctx context.Context) {
	for {
		vms, err := r.vmlist.List(ctx)
		if err == nil && r.box.Send(ctx, vmsMessage{vms: vms}) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(r.options.vmInterval):
		}
	}
}

// refuse returns a refusal of a request of which nothing was sent.
func refuse(code buckthorndyke.Code, message string) *buckthorndyke.RefusalError {
	return buckthorndyke.NewRefusal(code, buckthorndyke.NotRun, message)
}
