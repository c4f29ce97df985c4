package watcher

import "github.com/buckthorndyke/buckthorndyke"

const (
	// fullEvery is the time between two reads of the list that the leader vouches
	// for: it tells what changes of the models that runners hold, and not the rest.
	fullEvery = 15 * buckthorndyke.Second
	// leaderParts is the part of a record's limit after which the leader reads it
	// again.
	leaderParts = 4
	// staleShare is the part of a record's limit, in thousandths, after which a VM
	// reads it itself. The leader's word is older by a quarter of the limit and the
	// time between two reports of demand.
	staleShare = 700
)

// pace decides when a VM reads one of the platform's records. It is immutable.
type pace struct {
	// confirmed is the instant at which what the VM knows was last seen to hold.
	confirmed buckthorndyke.Millis
	leading   bool
	limit     buckthorndyke.Millis
	mark      uint64
	// read is the instant of the VM's own last read.
	read buckthorndyke.Millis
	// vouched is the instant for which the leader's word last held, or 0.
	vouched buckthorndyke.Millis
}

// Due returns the instant at which the VM has to read the record.
func (p pace) Due() buckthorndyke.Millis {
	if p.leading {
		return p.read + p.limit/leaderParts
	}
	return min(p.read+fullEvery, p.confirmed+p.limit*staleShare/1000)
}

// Vouched returns the instant until which the leader's word makes a wait for
// changes needless.
func (p pace) Vouched() buckthorndyke.Millis {
	if p.leading || p.vouched == 0 {
		return 0
	}
	return p.vouched + p.limit*staleShare/1000
}

// WithAdopted returns the pace of a VM that has taken over what the leader has seen.
func (p pace) WithAdopted(s buckthorndyke.SeenVersion) pace {
	p.mark, p.vouched = s.VersionTag, s.At
	p.confirmed = max(p.confirmed, s.At)
	return p
}

// WithLeading returns the pace of a VM that leads, or does not.
func (p pace) WithLeading(leading bool) pace {
	p.leading = leading
	return p
}

// WithRead returns the pace after a read at an instant that has found mark.
func (p pace) WithRead(at buckthorndyke.Millis, mark uint64) pace {
	p.confirmed, p.mark, p.read = at, mark, at
	return p
}

// WithTold returns the pace after the leader's word, and whether that says that
// the VM lacks a change.
func (p pace) WithTold(s buckthorndyke.SeenVersion) (pace, bool) {
	switch {
	case s.VersionTag == 0 || s.At <= p.vouched:
		return p, false
	case s.VersionTag != p.mark:
		return p, s.At > p.confirmed
	}
	p.vouched = s.At
	p.confirmed = max(p.confirmed, s.At)
	return p, false
}
