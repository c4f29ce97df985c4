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

// sampleInterval is the time between two samples of the runners' states.
const sampleInterval = 250 * buckthorndyke.Millisecond

// monitor compares what runners have loaded with the decisions in the control stream.
type monitor struct {
	arbiter *arbiter.Arbiter
	encoder buckthorndyke.Encoder
	// rulesTexts are the accepted rules by version.
	rulesTexts map[buckthorndyke.Offset]string
	state      buckthorndyke.State
	violations violations
}

func newMonitor() *monitor {
	rules := parser.NewRules()
	return &monitor{arbiter: arbiter.New(rules), encoder: encoder.NewProto(rules), rulesTexts: map[buckthorndyke.Offset]string{}}
}

// run samples the runners until ctx ends, and then sends the violations.
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

// sample checks that each loaded model has a slot on its runner, in the state before
// or after the runners' statuses were read.
func (m *monitor) sample(ctx context.Context, f *tester.Fleet) {
	if !m.applyRecords(ctx, f.Log) {
		return
	}
	before := m.state
	residents := map[buckthorndyke.RunnerID][]buckthorndyke.Resident{}
	for runner, engine := range f.Engines {
		status, err := engine.Status(ctx)
		if err == nil {
			residents[runner] = status.Residents
		}
	}
	if !m.applyRecords(ctx, f.Log) {
		return
	}
	for runner, loaded := range residents {
		for _, resident := range loaded {
			base := resident.Model
			if resident.Base != "" {
				base = resident.Base
			}
			if !hasSlot(before, base, runner) && !hasSlot(m.state, base, runner) {
				m.addOnce(guaranteeReplicas, "%s has loaded %s without a slot", runner, resident.Model)
			}
		}
	}
}

// applyRecords applies the new records of the control stream, checks them, and
// reports whether the log could be read.
func (m *monitor) applyRecords(ctx context.Context, log *standin.MemoryLog) bool {
	batch, err := log.Read(ctx, buckthorndyke.ControlStream, m.state.Offset+1, 0)
	if err != nil {
		return false
	}
	for _, e := range batch.Entries {
		p, err := m.encoder.DecodeProposal(e.Data)
		if err != nil {
			m.addOnce(guaranteeRules, "record at offset %s cannot be decoded: %v", e.Offset, err)
			continue
		}
		m.state, _ = m.arbiter.Apply(m.state, e.Offset, e.At, p)
		m.rulesTexts[m.state.RulesVersion] = m.state.RulesText
		for _, placement := range m.state.Placements.All() {
			rule, ok := m.state.Rules.Models.Get(placement.Model)
			if c, permit := p.Change.(buckthorndyke.PermitChange); permit && ok && c.Model == placement.Model {
				if placement.Version == e.Offset && placement.SlotCount() > rule.Replicas {
					m.addOnce(guaranteeReplicas, "%s has %d slots, its rule allows %d", placement.Model, placement.SlotCount(), rule.Replicas)
				}
			}
		}
	}
	return true
}

// addOnce adds a violation unless an equal one was added before.
func (m *monitor) addOnce(g guarantee, format string, args ...any) {
	v := violation{detail: fmt.Sprintf(format, args...), guarantee: g}
	for _, earlier := range m.violations {
		if earlier == v {
			return
		}
	}
	m.violations = append(m.violations, v)
}

// hasSlot reports whether a model has a slot on a runner.
func hasSlot(s buckthorndyke.State, model buckthorndyke.ModelID, runner buckthorndyke.RunnerID) bool {
	placement, _ := s.Placements.Get(model)
	_, ok := placement.Slot(runner)
	return ok
}

// activeRules is a version of the rules that was in force on a VM.
type activeRules struct {
	text    string
	version buckthorndyke.Offset
	vm      buckthorndyke.VMID
}

// watchRules records the rules in force on one incarnation of a node until ctx ends,
// and then sends them in order.
func watchRules(ctx context.Context, n *tester.Node, seen chan<- []activeRules) {
	var versions []activeRules
	updates := n.Tree.Follower().Subscribe(ctx)
	for {
		select {
		case <-ctx.Done():
			seen <- versions
			return
		case u, ok := <-updates:
			if !ok {
				updates = nil
				continue
			}
			s := activeRules{text: u.State.RulesText, version: u.State.RulesVersion, vm: n.Self.VM}
			if len(versions) == 0 || versions[len(versions)-1] != s {
				versions = append(versions, s)
			}
		}
	}
}
