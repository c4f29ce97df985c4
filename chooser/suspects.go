package chooser

import "github.com/buckthorndyke/buckthorndyke"

const (
	// CrashLimit is the number of crashes at which a request is no longer run.
	CrashLimit = 2

	// suspectEntries is the number of fingerprints that are remembered.
	suspectEntries = 4096
)

// Suspects counts the runner crashes during which requests were running, by the
// fingerprint of the request. Any request in the batch may have caused a first crash,
// so each of them becomes a suspect, which only runs while no other request does. A
// crash while a suspect runs alone is caused by the suspect. Suspects is immutable
// and limited in size.
type Suspects struct {
	entries buckthorndyke.Table[buckthorndyke.Fingerprint, suspect]
	// fingerprints lists the fingerprints in the order in which they were counted.
	fingerprints buckthorndyke.Table[uint64, buckthorndyke.Fingerprint]
	// nextSequence is the sequence number of the next entry.
	nextSequence uint64
}

// suspect is the entry of one fingerprint.
type suspect struct {
	crashes  int
	sequence uint64
}

// Crashes returns the number of crashes that count for a fingerprint.
func (s Suspects) Crashes(f buckthorndyke.Fingerprint) int {
	found, _ := s.entries.Get(f)
	return found.crashes
}

// Stopped reports whether a fingerprint has reached CrashLimit.
func (s Suspects) Stopped(f buckthorndyke.Fingerprint) bool {
	return s.Crashes(f) >= CrashLimit
}

// Suspected reports whether a request with this fingerprint has to run alone.
func (s Suspects) Suspected(f buckthorndyke.Fingerprint) bool {
	return s.Crashes(f) > 0
}

// WithCrash returns a copy that counts a crash. The crash counts for a request that
// is already a suspect only if it ran alone.
func (s Suspects) WithCrash(f buckthorndyke.Fingerprint, alone bool) Suspects {
	old, known := s.entries.Get(f)
	if known && !alone {
		return s
	}
	s = s.Without(f)
	s.entries = s.entries.With(f, suspect{crashes: old.crashes + 1, sequence: s.nextSequence})
	s.fingerprints = s.fingerprints.With(s.nextSequence, f)
	s.nextSequence++
	for _, oldest := range s.fingerprints.All() {
		if s.fingerprints.Len() <= suspectEntries {
			break
		}
		s = s.Without(oldest)
	}
	return s
}

// Without returns a copy without the fingerprint.
func (s Suspects) Without(f buckthorndyke.Fingerprint) Suspects {
	if old, ok := s.entries.Get(f); ok {
		s.entries = s.entries.Without(f)
		s.fingerprints = s.fingerprints.Without(old.sequence)
	}
	return s
}
