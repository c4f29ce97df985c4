package adjudicator

import (
	"testing"

	"github.com/google/uuid"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	askers         = 4
	scriptLifetime = 1 * buckthorndyke.Hour
	scriptSteps    = 60
)

// folder folds a record into a ledger.
type folder func(Ledger, buckthorndyke.ClaimRecord, buckthorndyke.Offset, buckthorndyke.Millis) Ledger

// script is a run of several askers of one key against a log. Each asker sends
// once it is granted unless it has given up, and tells the truth in its outcome.
type script struct {
	entries []scriptEntry
	fold    folder
	gaveUp  [askers]bool
	now     buckthorndyke.Millis
	sent    [askers]bool
}

type scriptEntry struct {
	at     buckthorndyke.Millis
	record buckthorndyke.ClaimRecord
}

// run carries out one step for each value and returns the number of sends.
func (s *script) run(values []int) int {
	for _, v := range values {
		s.step(v%8, v/8%askers, v/(8*askers))
	}
	sends := 0
	for _, sent := range s.sent {
		if sent {
			sends++
		}
	}
	return sends
}

// step carries out one step of an asker. Records may come twice and late.
func (s *script) step(kind, asker, seed int) {
	switch kind {
	case 0, 1:
		s.append(asker, nil)
	case 2, 3, 4:
		s.ask(asker, seed)
	case 5:
		if !s.sent[asker] {
			s.gaveUp[asker] = true
			s.append(asker, &buckthorndyke.ClaimOutcome{Verdict: buckthorndyke.NotRun})
		}
	case 6:
		if s.sent[asker] {
			s.append(asker, &buckthorndyke.ClaimOutcome{Verdict: buckthorndyke.Verdict(seed % 2 * 2)})
		}
	default:
		s.now += scriptLifetime / 8 * buckthorndyke.Millis(seed%4)
	}
}

func (s *script) append(asker int, o *buckthorndyke.ClaimOutcome) {
	r := buckthorndyke.ClaimRecord{Claim: s.claim(asker), Outcome: o}
	if o != nil {
		o.ID = r.Claim.ID
	}
	s.entries = append(s.entries, scriptEntry{at: s.now, record: r})
}

// ask has a reader answer an asker. The reader started late, has read at least
// up to a record of the asker that is not older than the tolerance, and may have
// read more.
func (s *script) ask(asker, seed int) {
	r := s.claim(asker)
	l := NewLedger(WithKeyLifetime(scriptLifetime))
	seen := false
	for i, e := range s.entries {
		if e.at < s.now-scriptLifetime-2*KeyTolerance {
			continue
		}
		l = s.fold(l, e.record, buckthorndyke.Offset(i+1), e.at)
		recent := e.at >= s.now-KeyTolerance
		seen = seen || recent && e.record.Claim.ID == r.ID && e.record.Outcome == nil
		if seen && seed%(i+2) == 0 {
			break
		}
	}
	if !seen || s.gaveUp[asker] {
		return
	}
	reply, err := l.Reply(r)
	s.sent[asker] = s.sent[asker] || err == nil && reply.Granted
}

func (s *script) claim(asker int) buckthorndyke.ClaimRequest {
	key := uuid.UUID{5: 100, 6: 0x70, 8: 0x80}
	return buckthorndyke.ClaimRequest{
		Fingerprint: "call",
		ID:          buckthorndyke.RequestID(rune('a' + asker)),
		Key:         buckthorndyke.ClaimKey{Caller: "caller", Key: key.String(), Service: "bookings"},
	}
}

// anyoneSettles is a broken fold in which the outcome NotRun frees the key
// whoever it comes from.
func anyoneSettles(
	l Ledger, r buckthorndyke.ClaimRecord, offset buckthorndyke.Offset, at buckthorndyke.Millis,
) Ledger {
	k, _ := parseKey(r.Claim.Key)
	if e, ok := l.entry(k); ok && r.Outcome != nil && !e.settled {
		o := *r.Outcome
		o.ID = e.id
		r.Outcome = &o
	}
	return l.WithRecord(r, offset, at)
}

// lastWins is a broken fold in which a later claim takes the key over.
func lastWins(l Ledger, r buckthorndyke.ClaimRecord, offset buckthorndyke.Offset, at buckthorndyke.Millis) Ledger {
	k, _ := parseKey(r.Claim.Key)
	if e, ok := l.entry(k); ok && r.Outcome == nil && !e.settled {
		e.id = ""
		l = l.withEntry(k, e)
	}
	return l.WithRecord(r, offset, at)
}

func TestAtMostOneSend(t *testing.T) {
	t.Run("the ledger lets one asker send", func(t *testing.T) {
		assertProperty(t, Ledger.WithRecord, true)
	})
	t.Run("the property fails if any outcome frees the key", func(t *testing.T) {
		assertProperty(t, anyoneSettles, false)
	})
	t.Run("the property fails if the last claim wins", func(t *testing.T) {
		assertProperty(t, lastWins, false)
	})
}

// assertProperty checks whether at most one asker sends in all generated scripts.
func assertProperty(t *testing.T, fold folder, want bool) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 3000
	parameters.MaxSize = scriptSteps
	property := prop.ForAll(func(values []int) bool {
		return (&script{fold: fold}).run(values) <= 1
	}, gen.SliceOf(gen.IntRange(0, 1<<20)))
	result := property.Check(parameters)
	if result.Passed() != want {
		t.Errorf("property holds: %v, want %v (%s)", result.Passed(), want, result.Status)
	}
}
