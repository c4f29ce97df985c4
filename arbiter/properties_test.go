package arbiter_test

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
)

const (
	propertySeed = 20261204
	// streamLength is the number of records of a generated stream.
	streamLength = 120
)

// applyFunc is Arbiter.Apply without the time, or a variant that is broken on purpose.
type applyFunc func(buckthorndyke.State, buckthorndyke.Offset, buckthorndyke.Proposal) (buckthorndyke.State, buckthorndyke.ProposalResult)

// property reports whether an invariant holds for the stream generated from a seed.
type property func(apply applyFunc, seed int64) bool

func TestProperties(t *testing.T) {
	t.Run("records that are appended twice do not change the state", func(t *testing.T) {
		assertHolds(t, sameStateWithDuplicates)
		assertDetects(t, sameStateWithDuplicates, applyWithoutIDs())
	})
	t.Run("a follower that starts from a checkpoint reaches the same state", func(t *testing.T) {
		assertHolds(t, sameStateFromCheckpoint)
		assertDetects(t, sameStateFromCheckpoint, applyWithHiddenState())
	})
	t.Run("accepted rules are never replaced by rules based on an older version", func(t *testing.T) {
		assertHolds(t, rulesNeverRevert)
		assertDetects(t, rulesNeverRevert, applyWithoutRulesBase())
	})
	t.Run("the replicas that may be loaded never exceed the maximum", func(t *testing.T) {
		assertHolds(t, replicasStayWithinMaximum)
		assertDetects(t, replicasStayWithinMaximum, applyWithEarlyFree())
	})
	t.Run("the epoch of a runner never decreases, and each epoch has one owner", func(t *testing.T) {
		assertHolds(t, epochsRise)
		assertDetects(t, epochsRise, applyWithOldEpoch())
	})
	t.Run("an owner that is a member is replaced only by a successor or by its own proposal", func(t *testing.T) {
		assertHolds(t, takeoversArePermitted)
		assertDetects(t, takeoversArePermitted, applyWithoutOwner())
	})
}

func assertHolds(t *testing.T, p property) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	properties := gopter.NewProperties(parameters)
	properties.Property(t.Name(), prop.ForAll(func(seed int64) bool { return p(correctApply(), seed) }, gen.Int64()))
	properties.TestingRun(t)
}

// assertDetects checks that p fails for a broken implementation.
func assertDetects(t *testing.T, p property, broken applyFunc) {
	t.Helper()
	for seed := range int64(50) {
		if !p(broken, seed) {
			return
		}
	}
	t.Error("the property holds for a broken implementation")
}

func correctApply() applyFunc {
	a := newArbiter()
	return func(
		s buckthorndyke.State, offset buckthorndyke.Offset, p buckthorndyke.Proposal,
	) (buckthorndyke.State, buckthorndyke.ProposalResult) {
		return a.Apply(s, offset, 0, p)
	}
}

func sameStateWithDuplicates(apply applyFunc, seed int64) bool {
	records := newStream(apply, seed).records
	var once, twice buckthorndyke.State
	for i, p := range records {
		offset := buckthorndyke.Offset(2*i + 1)
		once, _ = apply(once, offset, p)
		twice, _ = apply(twice, offset, p)
		again := records[(int(seed&0xff)*i)%(i+1)]
		twice, _ = apply(twice, offset+1, again)
	}
	return equalStates(once.WithOffset(0), twice.WithOffset(0))
}

func sameStateFromCheckpoint(apply applyFunc, seed int64) bool {
	records := newStream(apply, seed).records
	cut := int(uint64(seed) % streamLength)
	var straight, restored buckthorndyke.State
	for i, p := range records {
		straight, _ = apply(straight, buckthorndyke.Offset(i+1), p)
		if i == cut {
			restored = roundTrip(straight)
		}
		if i > cut {
			restored, _ = apply(restored, buckthorndyke.Offset(i+1), p)
		}
	}
	return equalStates(straight, restored)
}

func rulesNeverRevert(apply applyFunc, seed int64) bool {
	var s buckthorndyke.State
	for i, p := range newStream(apply, seed).records {
		before := s.RulesVersion
		var r buckthorndyke.ProposalResult
		s, r = apply(s, buckthorndyke.Offset(i+1), p)
		c, ok := p.Change.(buckthorndyke.RulesChange)
		fresh := r.Offset == s.Offset
		if s.RulesVersion < before || ok && fresh && r.Accepted && c.Base != before {
			return false
		}
	}
	return true
}

func replicasStayWithinMaximum(apply applyFunc, seed int64) bool {
	var s buckthorndyke.State
	loadable := make(map[string]int)
	counted := make(map[buckthorndyke.ModelID]int)
	for i, p := range newStream(apply, seed).records {
		var r buckthorndyke.ProposalResult
		s, r = apply(s, buckthorndyke.Offset(i+1), p)
		if !r.Accepted || r.Offset != s.Offset {
			continue
		}
		switch c := p.Change.(type) {
		case buckthorndyke.PermitChange:
			for _, runner := range c.Runners {
				key := fmt.Sprint(c.Model, " ", runner)
				counted[c.Model] += 1 - loadable[key]
				loadable[key] = 1
			}
			rule, _ := s.Rules.Models.Get(c.Model)
			if counted[c.Model] > rule.Replicas {
				return false
			}
		case buckthorndyke.FreeSlotChange:
			key := fmt.Sprint(c.Model, " ", c.Runner)
			counted[c.Model] -= loadable[key]
			loadable[key] = 0
		}
	}
	return true
}

func epochsRise(apply applyFunc, seed int64) bool {
	var s buckthorndyke.State
	owners := make(map[string]string)
	for i, p := range newStream(apply, seed).records {
		before := s
		s, _ = apply(s, buckthorndyke.Offset(i+1), p)
		for runner, o := range s.Ownerships.All() {
			old, _ := before.Ownerships.Get(runner)
			if o.Epoch < old.Epoch {
				return false
			}
			key, owner := fmt.Sprint(runner, " ", o.Epoch), fmt.Sprint(o.Owner, " ", o.Incarnation)
			if have, ok := owners[key]; ok && o.Owner != "" && have != owner {
				return false
			}
			owners[key] = owner
		}
	}
	return true
}

func takeoversArePermitted(apply applyFunc, seed int64) bool {
	var s buckthorndyke.State
	for i, p := range newStream(apply, seed).records {
		before := s
		s, _ = apply(s, buckthorndyke.Offset(i+1), p)
		for runner, o := range s.Ownerships.All() {
			old, _ := before.Ownerships.Get(runner)
			m, member := before.Members.Get(old.Owner)
			if !member || m.Incarnation != old.Incarnation || o.Owner == old.Owner {
				continue
			}
			if !old.HasSuccessor(o.Owner) && p.Proposer != old.Owner {
				return false
			}
		}
	}
	return true
}

func equalStates(a, b buckthorndyke.State) bool {
	return string(encoded(a)) == string(encoded(b))
}

func encoded(s buckthorndyke.State) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(encoder.EncodeState(s))
	if err != nil {
		panic(err)
	}
	return data
}

// roundTrip returns s as a follower decodes it from a checkpoint.
func roundTrip(s buckthorndyke.State) buckthorndyke.State {
	decoded, err := encoder.NewProto(lineParser{}).DecodeState(encoder.EncodeState(s))
	if err != nil {
		panic(err)
	}
	return decoded
}
