package loader

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// maxCampaigners is the number of VMs that take part in the election while the
	// leader cannot renew its grant. There are several, since some of them may have
	// lost the platform as well.
	maxCampaigners = 6
	// longPollLimit is how long the reply to a demand report is held back until a
	// model can be served.
	longPollLimit = 250 * buckthorndyke.Millisecond
)

// heldReport is a demand report without a reply yet.
type heldReport struct {
	demandReported
	until buckthorndyke.Millis
}

// canServe reports whether something that requests in entries wait for can be served.
func (t *task) canServe(entries []buckthorndyke.DemandEntry) bool {
	for _, entry := range entries {
		if entry.Waiting > 0 && t.index.Serves(entry.Key) {
			return true
		}
	}
	return false
}

// handleDemand applies the demand of one VM, and replies at once unless requests wait
// for models that are not loaded.
func (t *task) handleDemand(m demandReported) {
	now := t.clock.Now()
	m.first = !t.view.HasReported(m.vm)
	t.view = t.view.WithDemand(m.vm, m.demand.Entries, now)
	t.serverLoads = t.serverLoads.WithReport(m.vm, m.demand.ServerLoads, now)
	t.assessment = t.assessment.WithAttemptCounts(m.demand.Attempts, now)
	t.crashes = t.crashes.With(m.demand.Crashes, now)
	t.index = t.view.Index(t.index, now)
	m = t.grantAllotments(m, now)
	if !t.leads(now) || !m.demand.Waiting || m.first || waitsForGrant(m.demand) || t.canServe(m.demand.Entries) {
		t.reply(m, now)
		return
	}
	t.held = append(t.held, heldReport{demandReported: m, until: now + holdLimit(m.demand)})
}

// listChange returns the difference from the list with the given version tag to the
// newest one, or nil if it cannot be told.
func (t *task) listChange(from uint64) *buckthorndyke.ListChange {
	if from == t.seenList.VersionTag {
		return nil
	}
	c, ok := t.listChanges[from]
	if !ok {
		c = t.lists.change(from, t.seenList.VersionTag)
		t.listChanges[from] = c
	}
	return c
}

// reply replies to a demand report.
func (t *task) reply(m demandReported, now buckthorndyke.Millis) {
	crashesSeen := m.demand.CrashesSeen
	if m.first {
		// The VM may mean the evidence of another leader.
		crashesSeen = 0
	}
	m.reply.Answer(buckthorndyke.DemandReply{
		Allotments:         m.grants,
		Crashes:            t.crashes.Since(crashesSeen, now),
		FullSpeedLoads:     t.view.FullSpeedLoads(),
		LeaderPosition:     m.position,
		Leading:            t.leads(now),
		List:               buckthorndyke.VersionNoticeOf(t.seenList, now),
		ListChange:         t.listChange(m.demand.ListVersionTag),
		LoadEstimates:      t.view.LoadEstimates(m.demand.Entries, now),
		ReportingVMs:       t.serverLoads.ReportingVMs(now),
		Routing:            buckthorndyke.VersionNoticeOf(t.seenRouting, now),
		RunnerModels:       t.index.RunnerModels(m.demand.Entries, t.repliedAt[m.vm], now),
		ServerLoads:        t.serverLoads.OtherVMsLoads(m.vm, now),
		ShouldCampaign:     t.leads(now) && now >= t.term.Until && t.shouldCampaign(m.vm),
		Suspects:           t.assessment.Suspects(t.lists.newest(), now),
		WantRecentArrivals: m.first,
	})
	t.repliedAt[m.vm] = now
}

// replyToHeld replies to the held reports whose models may now be served, or that
// have been held back for long enough.
func (t *task) replyToHeld(now buckthorndyke.Millis) {
	if t.changed {
		t.index = t.view.Index(t.index, now)
	}
	var kept []heldReport
	for _, r := range t.held {
		if now < r.until && (!t.changed || !t.canServe(r.demand.Entries)) {
			kept = append(kept, r)
			continue
		}
		t.reply(r.demandReported, now)
	}
	t.changed = t.changed && !t.index.IndexOf(t.view)
	t.held = kept
}

// shouldCampaign reports whether vm is one of the few VMs that take part in the
// election while the leader cannot renew its grant: if all did, each outage of the
// platform would cost a call from each VM.
func (t *task) shouldCampaign(vm buckthorndyke.VMID) bool {
	before := 0
	for other := range t.repliedAt {
		if campaignOrder(other, t.term.FencingToken) < campaignOrder(vm, t.term.FencingToken) {
			before++
		}
	}
	return before < maxCampaigners
}

// campaignOrder returns a hash by which VMs are chosen, others for each term.
func campaignOrder(vm buckthorndyke.VMID, fencingToken int64) uint64 {
	return xxhash.Sum64String(string(vm) + strconv.FormatInt(fencingToken, 10))
}
