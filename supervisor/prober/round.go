package prober

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

const (
	// extraLimit bounds the probes of a round beyond the usual targets.
	extraLimit = 32
	// versionsLimit bounds the members that are asked for their rules at once.
	versionsLimit = 32
)

// answer returns the answer to a peer's probe and takes its news into account.
func (t *task) answer(r buckthorndyke.ProbeRequest) buckthorndyke.ProbeReply {
	if m, ok := t.progress.State.Members.Get(r.From); ok && m.Incarnation == r.Incarnation {
		t.evidence = t.evidence.WithNews(r.From, r.Suspects, t.clock.Now())
	}
	return buckthorndyke.ProbeReply{
		Incarnation:  t.self.Incarnation,
		Offset:       t.progress.State.Offset,
		Ready:        t.readiness() == nil,
		RulesVersion: t.progress.State.RulesVersion,
		Suspects:     t.evidence.Reported(),
	}
}

// askVersions asks all members for the version of their rules.
func (t *task) askVersions(
	ctx context.Context, s buckthorndyke.State,
) buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion] {
	answers := make([]buckthorndyke.VMRulesVersion, s.Members.Len())
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(versionsLimit)
	i := 0
	for _, m := range s.Members.All() {
		at := i
		group.Go(func() error {
			answers[at] = t.askVersion(groupCtx, m)
			return nil
		})
		i++
	}
	_ = group.Wait()
	var table buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion]
	for _, a := range answers {
		table = table.With(a.VM, a)
	}
	return table
}

// askVersion asks one member for the version of its rules.
func (t *task) askVersion(ctx context.Context, m buckthorndyke.Member) buckthorndyke.VMRulesVersion {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.timeout.Duration())
	defer cancel()
	// Without a sender the request carries no news.
	reply, err := t.peers.At(m.PeerAddress).Probe(ctx, buckthorndyke.ProbeRequest{})
	return buckthorndyke.VMRulesVersion{Err: err, VM: m.VM, Version: reply.RulesVersion}
}

// extras returns the members to probe beyond the usual targets: those that are
// in doubt, and those to tell about the members that this VM cannot reach.
func (t *task) extras() []buckthorndyke.VMID {
	extras := t.evidence.Doubtful()
	for _, vm := range t.evidence.Reported() {
		extras = append(extras, t.roster.Audience(vm, t.progress.State)...)
	}
	slices.Sort(extras)
	return placer.TopN(string(t.self.VM), slices.Compact(extras), extraLimit)
}

// handleProbe takes a peer's answer, or the lack of one, into account. An answer
// of an earlier life shows nothing about the member.
func (t *task) handleProbe(r probeResult) {
	delete(t.pending, r.member.VM)
	now := t.clock.Now()
	switch {
	case r.err != nil || r.reply.Incarnation < r.member.Incarnation:
		t.evidence = t.evidence.WithMiss(r.member.VM)
	default:
		t.evidence = t.evidence.WithAnswer(r.member.VM, now).WithNews(r.member.VM, r.reply.Suspects, now)
	}
}

// probe sends one probe unless the last one is still open.
func (t *task) probe(ctx context.Context, m buckthorndyke.Member) {
	if m.VM == t.self.VM || t.pending[m.VM] {
		return
	}
	t.pending[m.VM] = true
	request := buckthorndyke.ProbeRequest{
		From:        t.self.VM,
		Incarnation: t.self.Incarnation,
		Offset:      t.progress.State.Offset,
		Suspects:    t.evidence.Reported(),
	}
	go func() {
		probeCtx, cancel := context.WithTimeout(ctx, t.cfg.timeout.Duration())
		defer cancel()
		reply, err := t.peers.At(m.PeerAddress).Probe(probeCtx, request)
		_ = t.probes.Send(ctx, probeResult{err: err, member: m, reply: reply})
	}()
}

// round sends the probes of one interval.
func (t *task) round(ctx context.Context) {
	for _, m := range t.targets {
		t.probe(ctx, m)
	}
	for _, vm := range t.extras() {
		if m, ok := t.progress.State.Members.Get(vm); ok {
			t.probe(ctx, m)
		}
	}
}
