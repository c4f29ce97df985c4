// Package attributor decides whether a response that was cut was cut because it had not been
// read, so that its server is not taken for one that fails.
package attributor

import "github.com/buckthorndyke/buckthorndyke"

const (
	// minWait is the time from which on a read counts as one that has waited for the server:
	// reads of bytes that have already arrived are shorter.
	minWait = 5 * buckthorndyke.Millisecond
	// unreadLimit is the time for which writes have to have kept the relay from reading before a
	// cut counts as one of an unread response. Servers cut responses that stay unread for some
	// seconds.
	unreadLimit = buckthorndyke.Second
)

// Pace says how far a client delays the reading of a response. It is immutable. The zero value
// is that of a response that has not been read yet.
type Pace struct {
	// blocked is the time that writes to the client have taken since the relay last waited for
	// the server.
	blocked buckthorndyke.Millis
}

// Unread reports whether the server has had cause to cut the response because it was not read.
func (p Pace) Unread() bool { return p.blocked >= unreadLimit }

// WithRead returns the pace after a read from the server that has taken d. A read that has
// waited shows that everything before it was read.
func (p Pace) WithRead(d buckthorndyke.Millis) Pace {
	if d >= minWait {
		p.blocked = 0
	}
	return p
}

// WithWrite returns the pace after a write to the client that has taken d.
func (p Pace) WithWrite(d buckthorndyke.Millis) Pace {
	p.blocked += max(d, 0)
	return p
}
