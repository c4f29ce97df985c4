package stager

import "github.com/buckthorndyke/buckthorndyke"

// expectedEnd returns the instant at which VMs are expected to be told of the end of the
// load from s, in progress or prepared by an unload, of the model of key. Loads from the
// weight store share its bandwidth. A load that is overdue counts as needing as long
// again as it is overdue: the order may have been lost, or is carried out late.
func (p *planner) expectedEnd(s runnerState, key buckthorndyke.ModelKey) buckthorndyke.Millis {
	order := s.pending
	if order == nil || order.kind != buckthorndyke.OrderLoad || order.model != key.Model {
		return p.now + unloadTime + p.loadDuration(key, s.backend.Tier(key.Model))
	}
	takes := p.loadDuration(key, order.tier)
	if order.concurrentLoads > p.fullSpeedLoads && p.fullSpeedLoads > 0 {
		takes = takes * buckthorndyke.Millis(order.concurrentLoads) / buckthorndyke.Millis(p.fullSpeedLoads)
	}
	end := order.sent + takes
	return max(end, 2*p.now-end+predictionMargin)
}

// lateLoad returns the earliest end of the loads in progress of the model of d if they
// all end later than its requests can wait. Such loads must not prevent a faster one
// elsewhere. It returns false if there is no load or one ends in time.
func (p *planner) lateLoad(d totalDemand) (buckthorndyke.Millis, bool) {
	end, ok := p.loadEnds[d.key]
	return end, ok && d.waiting > 0 && end > d.due
}

// noteLoad records that s is loading the model or adapter of key.
func (p *planner) noteLoad(s runnerState, key buckthorndyke.ModelKey) {
	p.loading[key]++
	if key.Adapter != "" {
		return
	}
	end := p.expectedEnd(s, key)
	if earliest, ok := p.loadEnds[key]; !ok || end < earliest {
		p.loadEnds[key] = end
	}
}

// endsBefore reports whether a load by this option, started at now, ends before the given
// instant.
func (o loadOption) endsBefore(instant, now buckthorndyke.Millis) bool {
	return now+buckthorndyke.Millis(o.evictions)*unloadTime+o.duration < instant
}
