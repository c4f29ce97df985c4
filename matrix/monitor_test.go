package matrix_test

import (
	"context"
	"fmt"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/arbiter"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/parser"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// sampleInterval is the time between two looks at the runners.
const sampleInterval = 250 * buckthorndyke.Millisecond

// monitor compares what runs with what the control stream says.
type monitor struct {
	arbiter  *arbiter.Arbiter
	violations violations
	encoder  buckthorndyke.Encoder
	state    buckthorndyke.State
	// texts are the accepted rules by their versions.
	rulesTexts map[buckthorndyke.Offset]string
}

func newMonitor() *monitor {
	rules := parser.NewRules()
	return &monitor{arbiter: arbiter.New(rules), encoder: encoder.NewProto(rules), rulesTexts: map[buckthorndyke.Offset]string{}}
}

// watch looks at the runners until ctx ends, and sends what it has found.
func (m *monitor) run(ctx context.Context, f *tester.Fleet, found chan<- violations) {
	for ctx.Err() == nil {
		m.sample(ctx, f)
		select {
		case <-f.Clock.After(sampleInterval):
		case <-ctx.Done():
		}
	}
	found <- m.violations
}

// look takes one sample.
func (m *monitor) sample(ctx context.Context, f *tester.Fleet) {
	if !m.applyRecords(ctx, f.Log) {
		return
	}
	before := m.state
	held := map[buckthorndyke.RunnerID][]buckthorndyke.Resident{}
	for runner, engine := range f.Engines {
		status, err := engine.Status(ctx)
		if err == nil {
			held[runner] = status.Residents
		}
	}
	if !m.applyRecords(ctx, f.Log) {
		return
	}
	for runner, residents := range held {
		for _, resident := range residents {
			home := resident.Model
			if resident.Base != "" {
				home = resident.Base
			}
			if !hasSlot(before, home, runner) && !hasSlot(m.state, home, runner) {
				m.addOnce(guaranteeReplicas, "%s holds %s without a slot", runner, resident.Model)
			}
		}
	}
}

// fold folds the newest records and reports whether the log answered.
func (m *monitor) applyRecords(ctx context.Context, log *standin.MemoryLog) bool {
	batch, err := log.Read(ctx, buckthorndyke.ControlStream, m.state.Offset+1, 0)
	if err != nil {
		return false
	}
	for _, e := range batch.Entries {
		p, err := m.encoder.DecodeProposal(e.Data)
		if err != nil {
			m.addOnce(guaranteeRules, "the record at %s is not readable: %v", e.Offset, err)
			continue
		}
		m.state, _ = m.arbiter.Fold(m.state, e.Offset, e.At, p)
		m.rulesTexts[m.state.RulesVersion] = m.state.RulesText
		for _, placement := range m.state.Placements.All() {
			rule, ok := m.state.Rules.Models.Get(placement.Model)
			if c, permit := p.Change.(buckthorndyke.PermitChange); permit && ok && c.Model == placement.Model {
				if placement.Version == e.Offset && placement.SlotCount() > rule.Replicas {
					m.addOnce(guaranteeReplicas, "%s has %d slots of %d", placement.Model, placement.SlotCount(), rule.Replicas)
				}
			}
		}
	}
	return true
}

// once notes a breach the first time that it is seen.
func (m *monitor) addOnce(p guarantee, format string, args ...any) {
	b := violation{detail: fmt.Sprintf(format, args...), guarantee: p}
	for _, have := range m.violations {
		if have == b {
			return
		}
	}
	m.violations = append(m.violations, b)
}

// counted reports whether a model has a slot on a runner.
func hasSlot(s buckthorndyke.State, model buckthorndyke.ModelID, runner buckthorndyke.RunnerID) bool {
	placement, _ := s.Placements.Get(model)
	_, ok := placement.Slot(runner)
	return ok
}

// rulesSeen is a version of the rules that was in force on a VM.
type activeRules struct {
	text    string
	version buckthorndyke.Offset
	vm      buckthorndyke.VMID
}

// watchRules follows the rules in force on one life of a node until ctx ends,
// and sends the versions in sequence.
func watchRules(ctx context.Context, n *tester.Node, seen chan<- []activeRules) {
	var versions []activeRules
	progress := n.Tree.Follower().Subscribe(ctx)
	for {
		select {
		case <-ctx.Done():
			seen <- versions
			return
		case p, ok := <-progress:
			if !ok {
				progress = nil
				continue
			}
			s := activeRules{text: p.State.RulesText, version: p.State.RulesVersion, vm: n.Self.VM}
			if len(versions) == 0 || versions[len(versions)-1] != s {
				versions = append(versions, s)
			}
		}
	}
}
