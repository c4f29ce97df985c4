// Package supervisor is the root of the supervisor tree of an entry VM. It
// starts the branches below it, restarts what fails and drains them in order.
package supervisor

import "github.com/buckthorndyke/buckthorndyke"

// Platform is what an entry VM needs from outside of its process.
type Platform struct {
	Engines buckthorndyke.Engines
	Log     buckthorndyke.Log
	Peers   buckthorndyke.Peers
	Service buckthorndyke.Service
	VMList  buckthorndyke.VMList
}
