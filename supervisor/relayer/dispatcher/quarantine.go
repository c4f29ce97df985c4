package dispatcher

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

// crashSync is what of the evidence of crashes a VM and the leader have told each other.
type crashSync struct {
	// reported is the version of the VM's own evidence that the leader has received.
	reported uint64
	// reporting is the version in the report that the leader has not replied to yet.
	reporting uint64
	// seen is the version of the leader's evidence that the VM has received.
	seen uint64
}

// addCrashEvidence adds evidence of this VM or of another one.
func (t *task) addCrashEvidence(e buckthorndyke.CrashEvidence) {
	now := t.clock.Now()
	before := t.crashes
	t.crashes = t.crashes.With(t.recent.Exonerate(e, now), now)
	if t.crashes.Version() == before.Version() {
		return
	}
	old, quarantined := before.Quarantines(), t.crashes.Quarantines()
	for _, f := range quarantined {
		if !slices.Contains(old, f) {
			t.logger.Warn().EmbedObject(reporter.EventQuarantine).Str("fingerprint", string(f)).Bool("quarantined", true).
				Int("crashes", t.crashes.Crashes(f)).Send()
		}
	}
	for _, f := range old {
		if !slices.Contains(quarantined, f) {
			t.logger.Info().EmbedObject(reporter.EventQuarantine).Str("fingerprint", string(f)).Bool("quarantined", false).Send()
		}
	}
	if len(quarantined) > 0 {
		t.forgetIf(t.refuseQuarantined)
	}
}

// applyLeaderCrashes applies the evidence in a leader's reply.
func (t *task) applyLeaderCrashes(reply buckthorndyke.DemandReply) {
	told := t.crashSync.reporting == t.crashes.Version()
	t.addCrashEvidence(reply.Crashes)
	t.crashSync.reported, t.crashSync.seen = t.crashSync.reporting, reply.Crashes.Version
	if told {
		// All that is new has come from the leader.
		t.crashSync.reported = t.crashes.Version()
	}
	if reply.WantRecentArrivals {
		t.crashSync.reported = 0
	}
}

// crashesToReport returns the evidence that the leader has not received, or all evidence
// for a new leader.
func (t *task) crashesToReport(all bool) buckthorndyke.CrashEvidence {
	if all {
		t.crashSync.reported = 0
	}
	t.crashSync.reporting = t.crashes.Version()
	return t.crashes.Since(t.crashSync.reported, t.clock.Now())
}

// noteServed notes that a server has begun to answer a request.
func (t *task) noteServed(fingerprints []buckthorndyke.Fingerprint) {
	now := t.clock.Now()
	var known []buckthorndyke.ServedFingerprint
	for _, f := range fingerprints {
		t.recent = t.recent.With(f, now)
		if t.crashes.Knows(f) {
			known = append(known, buckthorndyke.ServedFingerprint{Fingerprint: f})
		}
	}
	if len(known) > 0 {
		t.addCrashEvidence(buckthorndyke.CrashEvidence{Served: known})
	}
}

// refuseQuarantined refuses a request if it is quarantined, and reports whether it is.
func (t *task) refuseQuarantined(m admissionRequested) bool {
	left, quarantined := t.crashes.Quarantined(m.job.fingerprints, t.clock.Now())
	if quarantined {
		m.reply.Answer(admission{err: buckthorndyke.NewRefusal(buckthorndyke.CodeQuarantined, buckthorndyke.NotRun,
			"requests like this one have crashed servers").WithRetryAfter(left), final: true})
	}
	return quarantined
}
