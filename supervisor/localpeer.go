package supervisor

import "github.com/buckthorndyke/buckthorndyke"

// localPeer is this VM as its peers see it, made of the tasks that answer them.
type localPeer struct {
	buckthorndyke.ClaimStore
	buckthorndyke.TicketIssuer
	buckthorndyke.LoadGate
	buckthorndyke.Responder
	buckthorndyke.Successor
}
