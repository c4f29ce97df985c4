package tester

import "github.com/buckthorndyke/buckthorndyke"

// gateway returns the gateway of a node as callers reach it.
func (f *Fleet) gateway(n *Node) buckthorndyke.Gateway {
	if f.cfg.Wiring.Gateway == nil {
		return n.Tree.Gateway()
	}
	return f.cfg.Wiring.Gateway(n.Tree.Gateway())
}

// list returns the VM list as processes reach it.
func (f *Fleet) list() buckthorndyke.VMList {
	if f.cfg.Wiring.VMList == nil {
		return f.List
	}
	return f.cfg.Wiring.VMList(f.List)
}

// log returns the log service as the process on vm reaches it.
func (f *Fleet) log(vm buckthorndyke.VMID) buckthorndyke.Log {
	if f.cfg.Wiring.Log == nil {
		return f.Log
	}
	return f.cfg.Wiring.Log(vm, f.Log)
}

// service returns the plain services as processes reach them.
func (f *Fleet) service() buckthorndyke.Service {
	if f.cfg.Wiring.Service == nil {
		return f.Service
	}
	return f.cfg.Wiring.Service(f.Service)
}

// wired returns an engine as processes reach it.
func (f *Fleet) wired(runner buckthorndyke.RunnerID, engine buckthorndyke.Engine) buckthorndyke.Engine {
	if f.cfg.Wiring.Engine == nil {
		return engine
	}
	return f.cfg.Wiring.Engine(runner, engine)
}
