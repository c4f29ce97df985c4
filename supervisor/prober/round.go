package prober

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

const (
	// maxExtraTargets limits the probes of a round beyond those of the assigned targets.
	maxExtraTargets = 32
	// maxConcurrentVersionCalls limits the concurrent calls that ask members for the
	// version of their rules.
	maxConcurrentVersionCalls = 32
)

// askVersions asks all members for the version of their rules.
func (t *task) askVersions(
	ctx context.Context, s buckthorndyke.State,
) buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion] {
	versions := make([]buckthorndyke.VMRulesVersion, s.Members.Len())
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentVersionCalls)
	i := 0
	for _, m := range s.Members.All() {
		at := i
		group.Go(func() error {
			versions[at] = t.askVersion(groupCtx, m)
			return nil
		})
		i++
	}
	_ = group.Wait()
	var table buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion]
	for _, a := range versions {
		table = table.With(a.VM, a)
	}
	return table
}

// askVersion asks one member for the version of its rules.
func (t *task) askVersion(ctx context.Context, m buckthorndyke.Member) buckthorndyke.VMRulesVersion {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.timeout.Duration())
	defer cancel()
	// A probe without a sender reports no suspects.
	reply, err := t.peers.At(m.PeerAddress).Probe(ctx, buckthorndyke.ProbeRequest{})
	return buckthorndyke.VMRulesVersion{Err: err, Version: reply.RulesVersion, VM: m.VM}
}

// extraTargets returns the members to probe beyond the assigned targets: those that may
// be down, and those that need to know about members that this VM cannot reach.
func (t *task) extraTargets() []buckthorndyke.VMID {
	extras := t.detector.Doubtful()
	for _, vm := range t.detector.Unreachable() {
		extras = append(extras, t.topology.Recipients(vm, t.update.State)...)
	}
	slices.Sort(extras)
	return placer.TopN(string(t.self.VM), slices.Compact(extras), maxExtraTargets)
}

// handlePeerProbe returns the reply to a peer's probe, and records the suspects that the
// peer reports.
func (t *task) handlePeerProbe(r buckthorndyke.ProbeRequest) buckthorndyke.ProbeReply {
	if m, ok := t.update.State.Members.Get(r.From); ok && m.Incarnation == r.Incarnation {
		t.detector = t.detector.WithReport(r.From, r.Suspects, t.clock.Now())
	}
	return buckthorndyke.ProbeReply{
		Incarnation:  t.self.Incarnation,
		Offset:       t.update.State.Offset,
		Ready:        t.readiness() == nil,
		RulesVersion: t.update.State.RulesVersion,
		Suspects:     t.detector.Unreachable(),
	}
}

// handleProbeResult records a peer's reply or the lack of one. A reply of an earlier
// incarnation counts as none.
func (t *task) handleProbeResult(r probeResult) {
	delete(t.pendingProbes, r.member.VM)
	now := t.clock.Now()
	switch {
	case r.err != nil || r.reply.Incarnation < r.member.Incarnation:
		t.detector = t.detector.WithMiss(r.member.VM)
	default:
		t.detector = t.detector.WithReply(r.member.VM, now).WithReport(r.member.VM, r.reply.Suspects, now)
	}
}

// probe sends a probe to m unless the last one is still in progress.
func (t *task) probe(ctx context.Context, m buckthorndyke.Member) {
	if m.VM == t.self.VM || t.pendingProbes[m.VM] {
		return
	}
	t.pendingProbes[m.VM] = true
	request := buckthorndyke.ProbeRequest{
		From:        t.self.VM,
		Incarnation: t.self.Incarnation,
		Offset:      t.update.State.Offset,
		Suspects:    t.detector.Unreachable(),
	}
	go func() {
		probeCtx, cancel := context.WithTimeout(ctx, t.cfg.timeout.Duration())
		defer cancel()
		reply, err := t.peers.At(m.PeerAddress).Probe(probeCtx, request)
		_ = t.probeResults.Send(ctx, probeResult{err: err, member: m, reply: reply})
	}()
}

// sendProbes sends the probes of one interval.
func (t *task) sendProbes(ctx context.Context) {
	for _, m := range t.targets {
		t.probe(ctx, m)
	}
	for _, vm := range t.extraTargets() {
		if m, ok := t.update.State.Members.Get(vm); ok {
			t.probe(ctx, m)
		}
	}
}
