package main

import (
	"maps"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// percent converts fractions to percentages.
const percent = 100

// slotShares sums, for each runner and rank, the slot time that requests asked
// for (offered) and got (kept) in the measured span.
type slotShares struct {
	kept, offered map[buckthorndyke.RunnerID]*[buckthorndyke.RankCount]float64
	measured      span
	rules         buckthorndyke.Rules
}

// newSlotShares returns sums of zero.
func newSlotShares(rules buckthorndyke.Rules, measured span) *slotShares {
	return &slotShares{
		kept:     make(map[buckthorndyke.RunnerID]*[buckthorndyke.RankCount]float64),
		offered:  make(map[buckthorndyke.RunnerID]*[buckthorndyke.RankCount]float64),
		measured: measured, rules: rules,
	}
}

// addKept adds the slot time of a request that has ended.
func (s *slotShares) addKept(id buckthorndyke.RunnerID, t *ticket, now buckthorndyke.Millis) {
	from, to := max(t.granted, s.measured.from), min(now, s.measured.to)
	if to > from {
		rankTimes(s.kept, id)[t.request.rank] += float64(to - from)
	}
}

// addOffered adds the slot time of a request, at the runner that it tries
// first.
func (s *slotShares) addOffered(id buckthorndyke.RunnerID, q request) {
	if s.measured.contains(q.at) {
		rankTimes(s.offered, id)[q.rank] += float64(q.hold)
	}
}

// addTo adds to t the slot time that each rank was entitled to, and how much of
// it the rank got. At each runner a rank is entitled to its configured share of
// the slots, but to no more than its requests ask for.
func (s *slotShares) addTo(t *tally) {
	for _, id := range slices.Sorted(maps.Keys(s.offered)) {
		offered := s.offered[id]
		for rank := range t.ranks {
			share := float64(s.rules.RankRuleOf(buckthorndyke.Rank(rank)).SharePercent) / percent
			entitled := min(offered[rank], share*runnerSlots*float64(s.measured.to-s.measured.from))
			t.ranks[rank].entitled += entitled
			if kept := s.kept[id]; kept != nil {
				t.ranks[rank].kept += min(kept[rank], entitled)
			}
		}
	}
}

// rankTimes returns the sums of one runner, which it adds to times if they are
// missing.
func rankTimes(times map[buckthorndyke.RunnerID]*[buckthorndyke.RankCount]float64, id buckthorndyke.RunnerID) *[buckthorndyke.RankCount]float64 {
	if times[id] == nil {
		times[id] = new([buckthorndyke.RankCount]float64)
	}
	return times[id]
}
