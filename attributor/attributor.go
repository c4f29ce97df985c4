// Package attributor decides whether a response that was cut was cut because it had not been
// read, so that its server is not taken for one that fails.
package attributor

import "github.com/buckthorndyke/buckthorndyke"

const (
	// caughtUp is the time that reads take in sum after a long write until everything before
	// that write counts as read. A single read of bytes that have already arrived takes more
	// than 5 ms on a busy VM, which then took the server for a failing one.
	caughtUp = 100 * buckthorndyke.Millisecond
	// unreadLimit is the time for which writes have to have kept the relay from reading before a
	// cut counts as one of an unread response. Servers cut responses that stay unread for some
	// seconds.
	unreadLimit = buckthorndyke.Second
)

// Pace says how far a client delays the reading of a response. It is immutable. The zero value
// is that of a response that has not been read yet.
type Pace struct {
	// blocked is the time that writes to the client have taken since the relay last caught up
	// with the server.
	blocked buckthorndyke.Millis
	// waited is the time that reads have taken since then and since the last long write.
	waited buckthorndyke.Millis
}

// Unread reports whether the server has had cause to cut the response because it was not read.
func (p Pace) Unread() bool { return p.blocked >= unreadLimit }

// WithRead returns the pace after a read from the server that has taken d. Reads that have
// waited show that everything before them was read.
func (p Pace) WithRead(d buckthorndyke.Millis) Pace {
	p.waited += max(d, 0)
	if p.waited >= caughtUp {
		return Pace{}
	}
	return p
}

// WithWrite returns the pace after a write to the client that has taken d.
func (p Pace) WithWrite(d buckthorndyke.Millis) Pace {
	p.blocked += max(d, 0)
	if d >= caughtUp {
		p.waited = 0
	}
	return p
}
