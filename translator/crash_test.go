package translator_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/translator"
)

func TestCrashEvidence(t *testing.T) {
	t.Run("evidence of crashes is the same after encoding and decoding", func(t *testing.T) {
		want := buckthorndyke.CrashEvidence{
			Crashes: []buckthorndyke.Crash{{
				Age: 1, Alone: true, Lifetime: buckthorndyke.Lifetime{Incarnation: 2, Server: "r"},
				Requests: [][]buckthorndyke.Fingerprint{{"a", "b"}, {"c"}},
			}},
			Quarantines: []buckthorndyke.QuarantineNotice{{Age: 3, Fingerprint: "a", Left: 4}},
			Served:      []buckthorndyke.ServedFingerprint{{Age: 5, Fingerprint: "c"}},
			Version:     6,
		}
		asserter.Equal(t, translator.CrashEvidenceFromWire(translator.CrashEvidenceToWire(want)), want)
		report := translator.DemandReportFromWire(translator.DemandReportToWire("vm", buckthorndyke.DemandReport{Crashes: want, CrashesSeen: 7}))
		asserter.Equal(t, report.Crashes, want)
		asserter.Equal(t, report.CrashesSeen, uint64(7))
		reply := translator.DemandReplyFromWire(translator.DemandReplyToWire(buckthorndyke.DemandReply{Crashes: want}))
		asserter.Equal(t, reply.Crashes, want)
	})
	t.Run("a message of an older VM carries none", func(t *testing.T) {
		asserter.True(t, translator.CrashEvidenceFromWire(nil).Empty(), "evidence without a message")
	})
}
