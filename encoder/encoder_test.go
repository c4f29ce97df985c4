package encoder_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/parser"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

const (
	propertySeed = 20261204
	rulesText    = "model m memory-mb=10 replicas=2 # asked for by A\n"
)

func TestRoundTrip(t *testing.T) {
	e := encoder.NewProto(parser.NewRules())
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	properties := gopter.NewProperties(parameters)
	properties.Property("a proposal survives encoding and decoding", prop.ForAll(func(seed int64) bool {
		p := randomProposal(seed)
		data, err := e.EncodeProposal(p)
		if err != nil {
			return false
		}
		got, err := e.DecodeProposal(data)
		return err == nil && cmp.Equal(got, p)
	}, gen.Int64()))
	properties.Property("a state survives encoding and decoding", prop.ForAll(func(seed int64) bool {
		s := randomState(seed)
		got, err := e.DecodeState(encoder.EncodeState(s))
		return err == nil && proto.Equal(encoder.EncodeState(got), encoder.EncodeState(s)) && got.Rules.Models.Has("m")
	}, gen.Int64()))
	properties.TestingRun(t)
}

func TestDecodeProposal(t *testing.T) {
	e := encoder.NewProto(parser.NewRules())
	t.Run("an unknown kind of change is preserved", func(t *testing.T) {
		assertUnknown(t, e, protowire.AppendBytes(protowire.AppendTag(nil, 99, protowire.BytesType), []byte("x")))
	})
	t.Run("a known change with an unknown field is decoded as unknown", func(t *testing.T) {
		change := protowire.AppendVarint(protowire.AppendTag(nil, 77, protowire.VarintType), 1)
		assertUnknown(t, e, protowire.AppendBytes(protowire.AppendTag(nil, 13, protowire.BytesType), change))
	})
	t.Run("a state with invalid rules is an error", func(t *testing.T) {
		_, err := e.DecodeState(&wire.State{RulesText: "nonsense", RulesVersion: 1})
		asserter.Error(t, err)
	})
	t.Run("a large record is compressed", func(t *testing.T) {
		want := buckthorndyke.Proposal{
			Change: buckthorndyke.RulesChange{Text: strings.Repeat(rulesText, 1000)}, ID: "large",
		}
		data, err := e.EncodeProposal(want)
		asserter.NoError(t, err)
		asserter.True(t, len(data) < 1000, "the record is not compressed")
		got, err := e.DecodeProposal(data)
		asserter.NoError(t, err)
		asserter.Equal(t, got, want)
		_, err = e.DecodeProposal(data[:len(data)/2])
		asserter.Error(t, err)
	})
	t.Run("invalid bytes are an error", func(t *testing.T) {
		_, err := e.DecodeProposal([]byte{0xff})
		asserter.Error(t, err)
	})
	t.Run("the order of proposal results is preserved", func(t *testing.T) {
		s := buckthorndyke.State{}
		for i, id := range []buckthorndyke.ProposalID{"z", "a", "k"} {
			s = s.WithProposalResult(buckthorndyke.ProposalResult{ID: id, Offset: buckthorndyke.Offset(i + 1)}, 3)
		}
		got, err := e.DecodeState(encoder.EncodeState(s))
		asserter.NoError(t, err)
		got = got.WithProposalResult(buckthorndyke.ProposalResult{ID: "new", Offset: 9}, 3)
		asserter.Equal(t, got.ProposalResults.Has("z"), false)
		asserter.Equal(t, got.ProposalResults.Has("a"), true)
	})
}

func FuzzDecodeProposal(f *testing.F) {
	e := encoder.NewProto(parser.NewRules())
	for seed := range int64(20) {
		data, err := e.EncodeProposal(randomProposal(seed))
		asserter.NoError(f, err)
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := e.DecodeProposal(data)
		if err != nil {
			return
		}
		reencoded, err := e.EncodeProposal(p)
		asserter.NoError(t, err)
		if _, err := e.DecodeProposal(reencoded); err != nil {
			t.Errorf("a decoded proposal cannot be decoded again: %v", err)
		}
	})
}

// BenchmarkRules measures the decoding of a change of the rules. It reports the sizes
// of the rules and of the record.
func BenchmarkRules(b *testing.B) {
	for _, adapters := range []int{75, 1000, 7750, 31000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			e := encoder.NewProto(parser.NewRules())
			var text strings.Builder
			text.WriteString(rulesText)
			for i := range adapters {
				fmt.Fprintf(&text, "adapter hall-%05d base=m memory-mb=%d # asked for by A. Clerk\n", i, 40+i%97)
			}
			data, err := e.EncodeProposal(buckthorndyke.Proposal{
				Change: buckthorndyke.RulesChange{Text: text.String()}, ID: "r",
			})
			asserter.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				_, err = e.DecodeProposal(data)
				asserter.NoError(b, err)
			}
			b.ReportMetric(float64(text.Len()), "text-B")
			b.ReportMetric(float64(len(data)), "record-B")
		})
	}
}

func assertUnknown(t *testing.T, e *encoder.Proto, data []byte) {
	t.Helper()
	p, err := e.DecodeProposal(data)
	asserter.NoError(t, err)
	c, ok := p.Change.(buckthorndyke.UnknownChange)
	asserter.True(t, ok && bytes.Equal(c.Data, data), "the change is not preserved as unknown")
	reencoded, err := e.EncodeProposal(p)
	asserter.NoError(t, err)
	asserter.True(t, bytes.Equal(reencoded, data), "the record differs when it is encoded again")
}

func randomProposal(seed int64) buckthorndyke.Proposal {
	r := rand.New(rand.NewPCG(uint64(seed), propertySeed))
	return buckthorndyke.Proposal{
		Change:      randomChange(r),
		ID:          buckthorndyke.ProposalID(randomText(r)),
		Incarnation: buckthorndyke.Incarnation(r.Uint64()),
		Proposer:    buckthorndyke.VMID(randomText(r)),
	}
}

func randomChange(r *rand.Rand) buckthorndyke.Change {
	offset := buckthorndyke.Offset(r.Uint64())
	model, runner := buckthorndyke.ModelID(randomText(r)), buckthorndyke.RunnerID(randomText(r))
	switch r.IntN(9) {
	case 0:
		return buckthorndyke.FreeSlotChange{Epoch: offset, Model: model, Runner: runner}
	case 1:
		return buckthorndyke.JoinChange{Member: randomMember(r)}
	case 2:
		return buckthorndyke.LeaveChange{Draining: true, Incarnation: 3, VM: buckthorndyke.VMID(randomText(r))}
	case 3:
		return buckthorndyke.PermitChange{Base: offset, Model: model, Runners: []buckthorndyke.RunnerID{runner}}
	case 4:
		return buckthorndyke.QuarantineChange{
			Crashes: r.IntN(9), Fingerprint: buckthorndyke.Fingerprint(randomText(r)), Model: model,
		}
	case 5:
		return buckthorndyke.ReleaseChange{Epoch: offset, NextOwner: buckthorndyke.VMID(randomText(r)), Runner: runner}
	case 6:
		return buckthorndyke.RulesChange{Base: offset, Operator: randomText(r), Text: randomText(r)}
	case 7:
		return buckthorndyke.TakeChange{Base: offset, Ownership: randomOwnership(r)}
	default:
		return buckthorndyke.WithdrawChange{Base: offset, Model: model, Runner: runner}
	}
}

func randomMember(r *rand.Rand) buckthorndyke.Member {
	return buckthorndyke.Member{
		Domain:      buckthorndyke.DomainID(randomText(r)),
		Incarnation: buckthorndyke.Incarnation(r.Uint64()),
		Leaving:     r.IntN(2) == 0,
		PeerAddress: randomText(r),
		Version:     buckthorndyke.Offset(r.Uint64()),
		VM:          buckthorndyke.VMID(randomText(r)),
	}
}

func randomOwnership(r *rand.Rand) buckthorndyke.Ownership {
	return buckthorndyke.Ownership{
		Address:            randomText(r),
		ChecksFencingToken: r.IntN(2) == 0,
		Domain:             buckthorndyke.DomainID(randomText(r)),
		Epoch:              buckthorndyke.Offset(r.Uint64()),
		Incarnation:        buckthorndyke.Incarnation(r.Uint64()),
		MemoryMB:           r.IntN(1 << 20),
		Owner:              buckthorndyke.VMID(randomText(r)),
		PreviousOwner:      buckthorndyke.VMID(randomText(r)),
		Runner:             buckthorndyke.RunnerID(randomText(r)),
		Slots:              r.IntN(64),
		Successors:         []buckthorndyke.VMID{buckthorndyke.VMID(randomText(r))},
	}
}

func randomState(seed int64) buckthorndyke.State {
	r := rand.New(rand.NewPCG(uint64(seed), propertySeed))
	rules, err := parser.NewRules().Parse(rulesText)
	if err != nil {
		panic(err)
	}
	s := buckthorndyke.State{}.WithOffset(buckthorndyke.Offset(r.Uint64())).WithRules(rules, rulesText, 1).WithUnknownRecord()
	for i := range 1 + r.IntN(5) {
		offset := buckthorndyke.Offset(i + 1)
		model := buckthorndyke.ModelID(randomText(r))
		slot := buckthorndyke.ReplicaSlot{Runner: buckthorndyke.RunnerID(randomText(r)), Withdrawn: r.IntN(2) == 0}
		s = s.WithMember(randomMember(r)).WithOwnership(randomOwnership(r)).
			WithPlacement(buckthorndyke.Placement{Model: model, Version: offset}.WithSlot(slot)).
			WithAudit(buckthorndyke.AuditEntry{
				At: 7, Base: offset, Operator: randomText(r), Diff: []string{"+" + randomText(r)}, Offset: offset, Reason: randomText(r),
			}, 9).
			WithQuarantine(buckthorndyke.Quarantine{
				Crashes: 2, Fingerprint: buckthorndyke.Fingerprint(randomText(r)), Model: model, Offset: offset,
			}).
			WithProposalResult(buckthorndyke.ProposalResult{Accepted: true, ID: buckthorndyke.ProposalID(randomText(r)), Offset: offset}, 9)
	}
	return s
}

func randomText(r *rand.Rand) string {
	letters := []rune("abcxyzäö-/ ")
	word := make([]rune, 1+r.IntN(12))
	for i := range word {
		word[i] = letters[r.IntN(len(letters))]
	}
	return string(word)
}
