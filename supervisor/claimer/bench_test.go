package claimer_test

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"

	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/adjudicator"
	"github.com/buckthorndyke/buckthorndyke/encoder"
)

// benchRecord returns the record of claim n, or of its outcome o. The key has a timestamp
// of n ms.
func benchRecord(n int, o *buckthorndyke.ClaimOutcome) buckthorndyke.ClaimRecord {
	id := uuid.UUID{6: 0x70, 8: 0x80, 12: byte(n >> 24), 13: byte(n >> 16), 14: byte(n >> 8), 15: byte(n)}
	for i, at := 5, n; i >= 0; i, at = i-1, at>>8 {
		id[i] = byte(at)
	}
	r := buckthorndyke.ClaimRequest{
		Fingerprint: "0123456789abcdef",
		ID:          buckthorndyke.RequestID(strconv.Itoa(n)),
		Key:         buckthorndyke.ClaimKey{Caller: "lakeshore-clerk", Key: id.String(), Service: "bookings"},
		VM:          "entry-1",
	}
	if o != nil {
		o.ID, o.Key = r.ID, r.Key
	}
	return buckthorndyke.ClaimRecord{Claim: r, Outcome: o}
}

// benchLedger returns a ledger with the given number of settled keys, whose responses
// have bodies of the given size in bytes.
func benchLedger(keys, body int) adjudicator.Ledger {
	l := adjudicator.NewLedger()
	for n := range keys {
		outcome := &buckthorndyke.ClaimOutcome{
			Response: &buckthorndyke.ServiceResponse{Body: make([]byte, body), Status: 201},
			Verdict:  buckthorndyke.Ran,
		}
		offset, at := buckthorndyke.Offset(2*n+1), buckthorndyke.Millis(n)
		l = l.WithRecord(benchRecord(n, nil), offset, at)
		l = l.WithRecord(benchRecord(n, outcome), offset+1, at)
	}
	return l
}

// BenchmarkClaim measures the cost of one claim at a coordinator without the log: the
// claim and its outcome are encoded, decoded and applied, and the reply is computed.
func BenchmarkClaim(b *testing.B) {
	for _, keys := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			l, n := benchLedger(keys, 200), keys
			b.ReportAllocs()
			for b.Loop() {
				outcome := &buckthorndyke.ClaimOutcome{Response: &buckthorndyke.ServiceResponse{Body: make([]byte, 200), Status: 201}, Verdict: buckthorndyke.Ran}
				for _, r := range []buckthorndyke.ClaimRecord{benchRecord(n, nil), benchRecord(n, outcome)} {
					data, err := encoder.EncodeClaim(r)
					if err != nil {
						b.Fatal(err)
					}
					if r, err = encoder.DecodeClaim(data); err != nil {
						b.Fatal(err)
					}
					l = l.WithRecord(r, l.Offset()+1, buckthorndyke.Millis(n))
				}
				if _, err := l.Reply(benchRecord(n, nil).Claim); err != nil {
					b.Fatal(err)
				}
				n++
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
		})
	}
}

// BenchmarkKeptKey measures the memory per key in a ledger whose responses have bodies
// of 200 bytes.
func BenchmarkKeptKey(b *testing.B) {
	const body = 200
	for _, keys := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				l := benchLedger(keys, body)
				b.ReportMetric(float64(heap()-before)/float64(keys), "bytes/key")
				runtime.KeepAlive(l)
			}
		})
	}
}

// heap returns the size of the live heap in bytes.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
