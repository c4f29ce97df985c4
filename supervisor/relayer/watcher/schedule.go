package watcher

import "github.com/buckthorndyke/buckthorndyke"

const (
	// fullReadInterval is the time between two reads of the list that the leader vouches
	// for: it tells what changes of the models that runners hold, and not the rest.
	fullReadInterval = 15 * buckthorndyke.Second
	// leaderReadsPerLimit is the part of a record's limit after which the leader reads it
	// again.
	leaderReadsPerLimit = 4
	// stalePermille is the part of a record's limit, in thousandths, after which a VM
	// reads it itself. The leader's word is older by a quarter of the limit and the
	// time between two reports of demand.
	stalePermille = 700
)

// schedule decides when a VM reads one of the platform's records. It is immutable.
type schedule struct {
	// confirmed is the instant at which what the VM knows was last seen to hold.
	confirmed  buckthorndyke.Millis
	leading    bool
	limit      buckthorndyke.Millis
	versionTag uint64
	// read is the instant of the VM's own last read.
	read buckthorndyke.Millis
	// leaderConfirmed is the instant for which the leader's word last held, or 0.
	leaderConfirmed buckthorndyke.Millis
}

// Due returns the instant at which the VM has to read the record.
func (p schedule) Due() buckthorndyke.Millis {
	if p.leading {
		return p.read + p.limit/leaderReadsPerLimit
	}
	return min(p.read+fullReadInterval, p.confirmed+p.limit*stalePermille/1000)
}

// LeaderConfirmedUntil returns the instant until which the leader's word makes a wait for
// changes needless.
func (p schedule) LeaderConfirmedUntil() buckthorndyke.Millis {
	if p.leading || p.leaderConfirmed == 0 {
		return 0
	}
	return p.leaderConfirmed + p.limit*stalePermille/1000
}

// WithChangeApplied returns the pace of a VM that has taken over what the leader has seen.
func (p schedule) WithChangeApplied(s buckthorndyke.SeenVersion) schedule {
	p.versionTag, p.leaderConfirmed = s.VersionTag, s.At
	p.confirmed = max(p.confirmed, s.At)
	return p
}

// WithLeading returns the pace of a VM that leads, or does not.
func (p schedule) WithLeading(leading bool) schedule {
	p.leading = leading
	return p
}

// WithRead returns the pace after a read at an instant that has found mark.
func (p schedule) WithRead(at buckthorndyke.Millis, mark uint64) schedule {
	p.confirmed, p.versionTag, p.read = at, mark, at
	return p
}

// WithNotice returns the pace after the leader's word, and whether that says that
// the VM lacks a change.
func (p schedule) WithNotice(s buckthorndyke.SeenVersion) (schedule, bool) {
	switch {
	case s.VersionTag == 0 || s.At <= p.leaderConfirmed:
		return p, false
	case s.VersionTag != p.versionTag:
		return p, s.At > p.confirmed
	}
	p.leaderConfirmed = s.At
	p.confirmed = max(p.confirmed, s.At)
	return p, false
}
