package quarantiner_test

import (
	"strconv"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/quarantiner"
)

// fullCrash returns a crash with as many requests and fingerprints as are kept.
func fullCrash(n int) buckthorndyke.Crash {
	c := crashOf(n)
	for r := range 32 {
		var request []buckthorndyke.Fingerprint
		for i := range 16 {
			request = append(request, buckthorndyke.Fingerprint(strconv.Itoa(n)+"/"+strconv.Itoa(r)+"/"+strconv.Itoa(i)))
		}
		c.Requests = append(c.Requests, request)
	}
	return c
}

// BenchmarkWithCrash measures one more crash when the evidence has reached its limits.
func BenchmarkWithCrash(b *testing.B) {
	e := quarantiner.New()
	n := 0
	for ; n < 64; n++ {
		e = e.WithCrash(fullCrash(n), buckthorndyke.Millis(n))
	}
	for b.Loop() {
		e.WithCrash(fullCrash(n), buckthorndyke.Millis(n))
	}
}

// BenchmarkQuarantined measures the check of a request while a thousand fingerprints are
// quarantined.
func BenchmarkQuarantined(b *testing.B) {
	var told buckthorndyke.CrashEvidence
	for n := range 1000 {
		told.Quarantines = append(told.Quarantines, buckthorndyke.QuarantineNotice{
			Fingerprint: buckthorndyke.Fingerprint(strconv.Itoa(n)), Left: second,
		})
	}
	e := quarantiner.New().With(told, 0)
	request := req("a", "b", "c", "d")
	for b.Loop() {
		e.Quarantined(request, 0)
	}
}

// BenchmarkRecent measures the note that a fingerprint was served.
func BenchmarkRecent(b *testing.B) {
	var r quarantiner.Recent
	for n := 0; b.Loop(); n++ {
		r = r.With(buckthorndyke.Fingerprint(strconv.Itoa(n%8000)), 0)
	}
}

// BenchmarkServedAgain measures the note that a fingerprint of a crash was served, when
// that is known and the evidence has reached its limits.
func BenchmarkServedAgain(b *testing.B) {
	e := quarantiner.New()
	for n := range 48 {
		e = e.WithCrash(fullCrash(n), buckthorndyke.Millis(n))
	}
	told := buckthorndyke.CrashEvidence{Served: []buckthorndyke.ServedFingerprint{{Fingerprint: "1/0/0"}}}
	e = e.With(told, 100)
	for b.Loop() {
		e.With(told, 100)
	}
}
