// Package supervisor contains the root of an entry VM's supervisor tree. It starts the
// branches of the tree, whose tasks are restarted when they fail, and stops them in
// order.
package supervisor

import "github.com/buckthorndyke/buckthorndyke"

// Platform holds the interfaces to everything outside the process that an entry VM
// needs.
type Platform struct {
	Engines buckthorndyke.Engines
	Log     buckthorndyke.Log
	Peers   buckthorndyke.Peers
	Service buckthorndyke.Service
	VMList  buckthorndyke.VMList
}
