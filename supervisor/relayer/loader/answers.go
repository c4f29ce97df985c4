package loader

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// contestants is the number of VMs that take part in the election while the
	// leader cannot renew its grant. Some of them may lack the platform as well.
	contestants = 6
	// parkLimit is how long a report of demand waits for something to change.
	parkLimit = 250 * buckthorndyke.Millisecond
)

// parked is a report of demand that has not been answered.
type parked struct {
	demandReported
	until buckthorndyke.Millis
}

// answerParked answers the reports for which something has changed or which have
// waited long enough.
func (t *task) answerParked(now buckthorndyke.Millis) {
	var kept []parked
	for _, p := range t.parked {
		if now < p.until && (!t.changed || !t.served(p.demand.Entries)) {
			kept = append(kept, p)
			continue
		}
		t.answer(p.demandReported, now)
	}
	t.changed = false
	t.parked = kept
}

// answer answers a report of demand.
func (t *task) answer(m demandReported, now buckthorndyke.Millis) {
	m.reply.Answer(buckthorndyke.DemandReply{
		WantRecentArrivals: m.first,
		FullSpeedLoads:     t.floor.FullSpeedLoads(),
		ShouldCampaign:     t.leads(now) && now >= t.term.Until && t.contests(m.vm),
		LoadEstimates:      t.floor.LoadEstimates(m.demand.Entries, now),
		ReportingVMs:       t.loads.ReportingVMs(now),
		Leading:            t.leads(now),
		List:               buckthorndyke.VersionNoticeOf(t.seenList, now),
		ListChange:         t.lists.change(m.demand.ListVersionTag, t.seenList.VersionTag),
		ServerLoads:        t.loads.OtherVMsLoads(m.vm, now),
		RunnerModels:       t.floor.RunnerModels(m.demand.Entries, t.told[m.vm], now),
		Routing:            buckthorndyke.VersionNoticeOf(t.seenRouting, now),
		Suspects:           t.assessment.Suspects(t.lists.newest(), now),
	})
	t.told[m.vm] = now
}

// contests reports whether vm is one of the few VMs that look at the election while
// this one cannot renew its grant: if all did, each outage of the platform would cost
// a call of each.
func (t *task) contests(vm buckthorndyke.VMID) bool {
	before := 0
	for other := range t.told {
		if contestOrder(other, t.term.FencingToken) < contestOrder(vm, t.term.FencingToken) {
			before++
		}
	}
	return before < contestants
}

// served reports whether something that lines wait for can be served.
func (t *task) served(lines []buckthorndyke.DemandEntry) bool {
	for _, l := range lines {
		if l.Waiting > 0 && t.floor.Serves(l.Key) {
			return true
		}
	}
	return false
}

// takeDemand takes over the demand of one VM.
func (t *task) takeDemand(m demandReported) {
	now := t.clock.Now()
	m.first = !t.floor.HasReported(m.vm)
	t.floor = t.floor.WithDemand(m.vm, m.demand.Entries, now)
	t.loads = t.loads.WithReport(m.vm, m.demand.ServerLoads, now)
	t.assessment = t.assessment.WithAttemptCounts(m.demand.Attempts, now)
	if !t.leads(now) || !m.demand.Waiting || m.first || t.served(m.demand.Entries) {
		t.answer(m, now)
		return
	}
	t.parked = append(t.parked, parked{demandReported: m, until: now + parkLimit})
}

// contestOrder returns a number by which VMs are chosen, others for each term.
func contestOrder(vm buckthorndyke.VMID, fence int64) uint64 {
	return xxhash.Sum64String(string(vm) + strconv.FormatInt(fence, 10))
}
