package adjudicator_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/adjudicator"
)

const (
	lifetime = 1 * buckthorndyke.Hour
	start    = 1000 * buckthorndyke.Hour
)

// keyAt returns a key with the timestamp at.
func keyAt(at buckthorndyke.Millis) buckthorndyke.ClaimKey {
	var id uuid.UUID
	for i := range 6 {
		id[i] = byte(at >> (8 * (5 - i)))
	}
	id[6], id[8] = 0x70, 0x80
	return buckthorndyke.ClaimKey{Caller: "caller", Key: id.String(), Service: "bookings"}
}

// claim returns a claim with the given ID on the key with the timestamp start.
func claim(id buckthorndyke.RequestID) buckthorndyke.ClaimRequest {
	return buckthorndyke.ClaimRequest{Fingerprint: "call", ID: id, Key: keyAt(start), VM: "vm"}
}

// outcome returns the record of the outcome of the claim with the given ID.
func outcome(id buckthorndyke.RequestID, v buckthorndyke.Verdict) buckthorndyke.ClaimRecord {
	o := buckthorndyke.ClaimOutcome{ID: id, Key: keyAt(start), Verdict: v}
	if v == buckthorndyke.Ran {
		o.Response = &buckthorndyke.ServiceResponse{Status: 201}
	}
	return buckthorndyke.ClaimRecord{Claim: claim(id), Outcome: &o}
}

// ledgerOf returns the ledger of records that were appended at start.
func ledgerOf(records ...buckthorndyke.ClaimRecord) adjudicator.Ledger {
	l := adjudicator.NewLedger(adjudicator.WithKeyLifetime(lifetime))
	for i, r := range records {
		l = l.WithRecord(r, buckthorndyke.Offset(i+1), start)
	}
	return l
}

func record(id buckthorndyke.RequestID) buckthorndyke.ClaimRecord {
	return buckthorndyke.ClaimRecord{Claim: claim(id)}
}

func TestLedger(t *testing.T) {
	granted := buckthorndyke.ClaimReply{Granted: true}
	ran := buckthorndyke.ClaimReply{Response: &buckthorndyke.ServiceResponse{Status: 201}, Verdict: buckthorndyke.Ran}
	unknown := buckthorndyke.ClaimReply{Verdict: buckthorndyke.MayHaveRun}
	released := buckthorndyke.ClaimReply{Verdict: buckthorndyke.NotRun}
	one, two := record("1"), record("2")

	t.Run("the first claim is granted", func(t *testing.T) {
		l := ledgerOf(one, two)
		assertReply(t, l, claim("1"), granted)
		assertReply(t, l, claim("2"), unknown)
	})
	t.Run("a claim that is sent again gets the same reply", func(t *testing.T) {
		l := ledgerOf(one, two, two, one)
		assertReply(t, l, claim("1"), granted)
		assertReply(t, l, claim("2"), unknown)
	})
	t.Run("a later claim gets the recorded response", func(t *testing.T) {
		assertReply(t, ledgerOf(one, outcome("1", buckthorndyke.Ran), two), claim("2"), ran)
	})
	t.Run("only an outcome of the holder counts", func(t *testing.T) {
		assertReply(t, ledgerOf(one, two, outcome("2", buckthorndyke.Ran)), claim("2"), unknown)
		assertReply(t, ledgerOf(one, two, outcome("2", buckthorndyke.NotRun), record("3")), claim("3"), unknown)
	})
	t.Run("only the first outcome counts", func(t *testing.T) {
		l := ledgerOf(one, outcome("1", buckthorndyke.MayHaveRun), outcome("1", buckthorndyke.NotRun), two)
		assertReply(t, l, claim("2"), unknown)
	})
	t.Run("an outcome of not run frees the key", func(t *testing.T) {
		l := ledgerOf(one, outcome("1", buckthorndyke.NotRun), two)
		assertReply(t, l, claim("2"), granted)
		assertReply(t, l, claim("1"), unknown)
	})
	t.Run("an abandoned claim never holds the key, even if its record is appended later", func(t *testing.T) {
		assertReply(t, ledgerOf(outcome("1", buckthorndyke.NotRun), one), claim("1"), released)
		assertReply(t, ledgerOf(outcome("1", buckthorndyke.NotRun), one, two), claim("2"), granted)
	})
	t.Run("a key that is abandoned too often is not granted again", func(t *testing.T) {
		var records []buckthorndyke.ClaimRecord
		for i := range 20 {
			records = append(records, outcome(buckthorndyke.RequestID(rune('a'+i)), buckthorndyke.NotRun))
		}
		assertReply(t, ledgerOf(append(records, one)...), claim("1"), released)
	})
	t.Run("a different call with the same key is a mismatch", func(t *testing.T) {
		other := claim("2")
		other.Fingerprint = "other"
		l := ledgerOf(one, buckthorndyke.ClaimRecord{Claim: other})
		assertReply(t, l, other, buckthorndyke.ClaimReply{Mismatch: true, Verdict: buckthorndyke.MayHaveRun})
	})
}

func TestKeys(t *testing.T) {
	claimWith := func(key buckthorndyke.ClaimKey) error {
		r := claim("1")
		r.Key = key
		_, err := ledgerOf(buckthorndyke.ClaimRecord{Claim: r}).Reply(r)
		return err
	}
	t.Run("a key without a timestamp is refused as not run", func(t *testing.T) {
		for _, text := range []string{"", "booking-17", "9b2f6a1e-6f0c-4c1f-9a55-0d4f2d3e8c11"} {
			assertRefusal(t, claimWith(buckthorndyke.ClaimKey{Key: text}), buckthorndyke.CodeKeyInvalid, buckthorndyke.NotRun)
		}
	})
	t.Run("a key with a timestamp in the future is refused as not run", func(t *testing.T) {
		err := claimWith(keyAt(start + adjudicator.KeyTolerance + 1))
		assertRefusal(t, err, buckthorndyke.CodeKeyInvalid, buckthorndyke.NotRun)
		assertRefusal(t, claimWith(keyAt(start+adjudicator.KeyTolerance)), "", buckthorndyke.Ran)
	})
	t.Run("an expired key is refused as may have run", func(t *testing.T) {
		err := claimWith(keyAt(start - lifetime - 1))
		assertRefusal(t, err, buckthorndyke.CodeKeyExpired, buckthorndyke.MayHaveRun)
		assertRefusal(t, claimWith(keyAt(start-lifetime)), "", buckthorndyke.Ran)
	})
	t.Run("two notations of a UUID are the same key", func(t *testing.T) {
		spelled := claim("2")
		spelled.Key.Key = "urn:uuid:" + spelled.Key.Key
		l := ledgerOf(record("1"), buckthorndyke.ClaimRecord{Claim: spelled})
		assertReply(t, l, spelled, buckthorndyke.ClaimReply{Verdict: buckthorndyke.MayHaveRun})
	})
	t.Run("expired keys are deleted and still refused", func(t *testing.T) {
		later := claim("2")
		later.Key = keyAt(start + 2*lifetime)
		l := ledgerOf(record("1")).WithRecord(buckthorndyke.ClaimRecord{Claim: later}, 2, start+2*lifetime)
		if l.Len() != 1 {
			t.Errorf("ledger keeps %d keys, want 1", l.Len())
		}
		_, err := l.Reply(claim("1"))
		assertRefusal(t, err, buckthorndyke.CodeKeyExpired, buckthorndyke.MayHaveRun)
	})
}

func assertReply(t *testing.T, l adjudicator.Ledger, r buckthorndyke.ClaimRequest, want buckthorndyke.ClaimReply) {
	t.Helper()
	got, err := l.Reply(r)
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("claim %s (error %v):\n%s", r.ID, err, diff)
	}
}

// assertRefusal checks the code and the verdict of an error. With the verdict Ran it
// expects no error.
func assertRefusal(t *testing.T, err error, code buckthorndyke.Code, verdict buckthorndyke.Verdict) {
	t.Helper()
	switch {
	case err == nil && verdict == buckthorndyke.Ran:
	case err == nil:
		t.Errorf("got no error, want %s", code)
	case buckthorndyke.RefusalOf(err).Code() != code || buckthorndyke.VerdictOf(err) != verdict:
		t.Errorf("got %v, want %s (%s)", err, code, verdict)
	}
}
