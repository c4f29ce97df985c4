package chooser

import "github.com/buckthorndyke/buckthorndyke"

const (
	// CrashLimit is the number of crashes at which a request is stopped.
	CrashLimit = 2

	// suspectEntries bounds the fingerprints that are remembered.
	suspectEntries = 4096
)

// Suspects counts the runner crashes in which requests were in flight. A first
// crash may be the fault of any request in the batch, so it only makes each of
// them a suspect, which runs alone from then on; a crash of a suspect that ran
// alone is its own. It is immutable and bounded.
type Suspects struct {
	ages    buckthorndyke.Table[uint64, buckthorndyke.Fingerprint]
	entries buckthorndyke.Table[buckthorndyke.Fingerprint, suspect]
	next    uint64
}

// suspect is what is known of one fingerprint.
type suspect struct {
	age     uint64
	crashes int
}

// Crashes returns the number of crashes of fingerprint that count.
func (s Suspects) Crashes(f buckthorndyke.Fingerprint) int {
	found, _ := s.entries.Get(f)
	return found.crashes
}

// Stopped reports whether fingerprint has reached the crash limit.
func (s Suspects) Stopped(f buckthorndyke.Fingerprint) bool {
	return s.Crashes(f) >= CrashLimit
}

// Suspected reports whether a request with this fingerprint has to run alone.
func (s Suspects) Suspected(f buckthorndyke.Fingerprint) bool {
	return s.Crashes(f) > 0
}

// WithCrash returns a copy that counts a crash. Unless the request ran alone the
// count does not go beyond that of a suspect.
func (s Suspects) WithCrash(f buckthorndyke.Fingerprint, alone bool) Suspects {
	old, known := s.entries.Get(f)
	if known && !alone {
		return s
	}
	s = s.Without(f)
	s.entries = s.entries.With(f, suspect{age: s.next, crashes: old.crashes + 1})
	s.ages = s.ages.With(s.next, f)
	s.next++
	for _, oldest := range s.ages.All() {
		if s.ages.Len() <= suspectEntries {
			break
		}
		s = s.Without(oldest)
	}
	return s
}

// Without returns a copy that has cleared fingerprint.
func (s Suspects) Without(f buckthorndyke.Fingerprint) Suspects {
	if old, ok := s.entries.Get(f); ok {
		s.entries = s.entries.Without(f)
		s.ages = s.ages.Without(old.age)
	}
	return s
}
