package translator

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// CrashEvidenceFromWire returns the evidence in m.
func CrashEvidenceFromWire(m *wire.CrashEvidence) buckthorndyke.CrashEvidence {
	out := buckthorndyke.CrashEvidence{Version: m.GetVersion()}
	for _, c := range m.GetCrashes() {
		crash := buckthorndyke.Crash{
			Age:   buckthorndyke.Millis(c.AgeMs),
			Alone: c.Alone,
			Lifetime: buckthorndyke.Lifetime{
				Incarnation: buckthorndyke.Incarnation(c.Started), Server: buckthorndyke.RunnerID(c.Server),
			},
		}
		for _, r := range c.Requests {
			crash.Requests = append(crash.Requests, fromStrings[buckthorndyke.Fingerprint](r.Fingerprints))
		}
		out.Crashes = append(out.Crashes, crash)
	}
	for _, q := range m.GetQuarantines() {
		out.Quarantines = append(out.Quarantines, buckthorndyke.QuarantineNotice{
			Age: buckthorndyke.Millis(q.AgeMs), Fingerprint: buckthorndyke.Fingerprint(q.Fingerprint), Left: buckthorndyke.Millis(q.LeftMs),
		})
	}
	for _, s := range m.GetServed() {
		out.Served = append(out.Served, buckthorndyke.ServedFingerprint{
			Age: buckthorndyke.Millis(s.AgeMs), Fingerprint: buckthorndyke.Fingerprint(s.Fingerprint),
		})
	}
	return out
}

// CrashEvidenceToWire returns the message that carries e.
func CrashEvidenceToWire(e buckthorndyke.CrashEvidence) *wire.CrashEvidence {
	out := &wire.CrashEvidence{Version: e.Version}
	for _, c := range e.Crashes {
		crash := &wire.Crash{
			AgeMs: int64(c.Age), Alone: c.Alone, Server: string(c.Lifetime.Server), Started: uint64(c.Lifetime.Incarnation),
		}
		for _, r := range c.Requests {
			crash.Requests = append(crash.Requests, &wire.Fingerprints{Fingerprints: toStrings(r)})
		}
		out.Crashes = append(out.Crashes, crash)
	}
	for _, q := range e.Quarantines {
		out.Quarantines = append(out.Quarantines, &wire.QuarantineNotice{
			AgeMs: int64(q.Age), Fingerprint: string(q.Fingerprint), LeftMs: int64(q.Left),
		})
	}
	for _, s := range e.Served {
		out.Served = append(out.Served, &wire.ServedFingerprint{AgeMs: int64(s.Age), Fingerprint: string(s.Fingerprint)})
	}
	return out
}
