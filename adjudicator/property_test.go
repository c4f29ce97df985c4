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
	claimants    = 4
	testLifetime = 1 * buckthorndyke.Hour
	maxSteps     = 60
)

// applyFunc applies a record to a ledger.
type applyFunc func(Ledger, buckthorndyke.ClaimRecord, buckthorndyke.Offset, buckthorndyke.Millis) Ledger

// simulation runs several claimants of one key against a log. A claimant makes the call
// once its claim is granted, unless it has abandoned the claim, and never reports
// NotRun after the call.
type simulation struct {
	abandoned [claimants]bool
	apply     applyFunc
	called    [claimants]bool
	entries   []logEntry
	now       buckthorndyke.Millis
}

type logEntry struct {
	at     buckthorndyke.Millis
	record buckthorndyke.ClaimRecord
}

// run takes one step for each value and returns the number of claimants that made the
// call.
func (s *simulation) run(values []int) int {
	for _, v := range values {
		s.step(v%8, v/8%claimants, v/(8*claimants))
	}
	calls := 0
	for _, called := range s.called {
		if called {
			calls++
		}
	}
	return calls
}

// step takes one step of a claimant. Records may be appended twice and late.
func (s *simulation) step(kind, claimant, seed int) {
	switch kind {
	case 0, 1:
		s.append(claimant, nil)
	case 2, 3, 4:
		s.requestReply(claimant, seed)
	case 5:
		if !s.called[claimant] {
			s.abandoned[claimant] = true
			s.append(claimant, &buckthorndyke.ClaimOutcome{Verdict: buckthorndyke.NotRun})
		}
	case 6:
		if s.called[claimant] {
			s.append(claimant, &buckthorndyke.ClaimOutcome{Verdict: buckthorndyke.Verdict(seed % 2 * 2)})
		}
	default:
		s.now += testLifetime / 8 * buckthorndyke.Millis(seed%4)
	}
}

func (s *simulation) append(claimant int, o *buckthorndyke.ClaimOutcome) {
	r := buckthorndyke.ClaimRecord{Claim: s.request(claimant), Outcome: o}
	if o != nil {
		o.ID = r.Claim.ID
	}
	s.entries = append(s.entries, logEntry{at: s.now, record: r})
}

// requestReply has a reader reply to a claimant. The reader starts with the oldest
// record that the log retains. It has read at least up to a record of the claimant that
// is not older than KeyTolerance, and may have read further.
func (s *simulation) requestReply(claimant, seed int) {
	r := s.request(claimant)
	l := NewLedger(WithKeyLifetime(testLifetime))
	seen := false
	for i, e := range s.entries {
		if e.at < s.now-testLifetime-2*KeyTolerance {
			continue
		}
		l = s.apply(l, e.record, buckthorndyke.Offset(i+1), e.at)
		recent := e.at >= s.now-KeyTolerance
		seen = seen || recent && e.record.Claim.ID == r.ID && e.record.Outcome == nil
		if seen && seed%(i+2) == 0 {
			break
		}
	}
	if !seen || s.abandoned[claimant] {
		return
	}
	reply, err := l.Reply(r)
	s.called[claimant] = s.called[claimant] || err == nil && reply.Granted
}

func (s *simulation) request(claimant int) buckthorndyke.ClaimRequest {
	key := uuid.UUID{5: 100, 6: 0x70, 8: 0x80}
	return buckthorndyke.ClaimRequest{
		Fingerprint: "call",
		ID:          buckthorndyke.RequestID(rune('a' + claimant)),
		Key:         buckthorndyke.ClaimKey{Caller: "caller", Key: key.String(), Service: "bookings"},
	}
}

// applyAnyOutcome is broken on purpose: it accepts an outcome of any claim, so that
// NotRun of a claim that does not hold the key frees the key.
func applyAnyOutcome(
	l Ledger, r buckthorndyke.ClaimRecord, offset buckthorndyke.Offset, at buckthorndyke.Millis,
) Ledger {
	k, _ := parseKey(r.Claim.Key)
	if e, ok := l.entry(k); ok && r.Outcome != nil && !e.settled {
		o := *r.Outcome
		o.ID = e.holder
		r.Outcome = &o
	}
	return l.WithRecord(r, offset, at)
}

// applyLastClaim is broken on purpose: a later claim takes over the key.
func applyLastClaim(l Ledger, r buckthorndyke.ClaimRecord, offset buckthorndyke.Offset, at buckthorndyke.Millis) Ledger {
	k, _ := parseKey(r.Claim.Key)
	if e, ok := l.entry(k); ok && r.Outcome == nil && !e.settled {
		e.holder = ""
		l = l.withEntry(k, e)
	}
	return l.WithRecord(r, offset, at)
}

func TestAtMostOneCall(t *testing.T) {
	t.Run("the ledger lets one claimant make the call", func(t *testing.T) {
		assertProperty(t, Ledger.WithRecord, true)
	})
	t.Run("an implementation in which any outcome frees the key violates the property", func(t *testing.T) {
		assertProperty(t, applyAnyOutcome, false)
	})
	t.Run("an implementation in which the last claim holds the key violates the property", func(t *testing.T) {
		assertProperty(t, applyLastClaim, false)
	})
}

// assertProperty checks whether at most one claimant makes the call in all generated
// simulations.
func assertProperty(t *testing.T, apply applyFunc, want bool) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 3000
	parameters.MaxSize = maxSteps
	property := prop.ForAll(func(values []int) bool {
		return (&simulation{apply: apply}).run(values) <= 1
	}, gen.SliceOf(gen.IntRange(0, 1<<20)))
	result := property.Check(parameters)
	if result.Passed() != want {
		t.Errorf("property holds: %v, want %v (%s)", result.Passed(), want, result.Status)
	}
}
