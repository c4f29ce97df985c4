package supervisor

import "github.com/buckthorndyke/buckthorndyke"

// localPeer implements buckthorndyke.Peer for this VM. It consists of the tasks that
// serve its peers.
type localPeer struct {
	buckthorndyke.ClaimStore
	buckthorndyke.TicketIssuer
	buckthorndyke.LoadGate
	buckthorndyke.Responder
	buckthorndyke.Successor
}
