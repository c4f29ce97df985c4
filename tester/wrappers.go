package tester

import "github.com/buckthorndyke/buckthorndyke"

// gateway returns the gateway of a node, wrapped by the configured wrapper.
func (f *Fleet) gateway(n *Node) buckthorndyke.Gateway {
	if f.cfg.Wrappers.Gateway == nil {
		return n.Tree.Gateway()
	}
	return f.cfg.Wrappers.Gateway(n.Tree.Gateway())
}

// list returns the VM list, wrapped by the configured wrapper.
func (f *Fleet) list() buckthorndyke.VMList {
	if f.cfg.Wrappers.VMList == nil {
		return f.VMList
	}
	return f.cfg.Wrappers.VMList(f.VMList)
}

// log returns the log service for the process on vm, wrapped by the configured
// wrapper.
func (f *Fleet) log(vm buckthorndyke.VMID) buckthorndyke.Log {
	if f.cfg.Wrappers.Log == nil {
		return f.Log
	}
	return f.cfg.Wrappers.Log(vm, f.Log)
}

// service returns the plain services, wrapped by the configured wrapper.
func (f *Fleet) service() buckthorndyke.Service {
	if f.cfg.Wrappers.Service == nil {
		return f.Service
	}
	return f.cfg.Wrappers.Service(f.Service)
}

// wrappedEngine returns a runner's engine, wrapped by the configured wrapper.
func (f *Fleet) wrappedEngine(runner buckthorndyke.RunnerID, engine buckthorndyke.Engine) buckthorndyke.Engine {
	if f.cfg.Wrappers.Engine == nil {
		return engine
	}
	return f.cfg.Wrappers.Engine(runner, engine)
}
