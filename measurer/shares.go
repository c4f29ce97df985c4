package main

import (
	"maps"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// percent is the whole of a share.
const percent = 100

// shares counts, for each runner, the slot time that a rank asks for and gets in
// the measured span.
type slotShares struct {
	kept, offered map[buckthorndyke.RunnerID]*[buckthorndyke.RankCount]float64
	measured      span
	rules         buckthorndyke.Rules
}

// newShares returns shares without requests.
func newSlotShares(rules buckthorndyke.Rules, measured span) *slotShares {
	return &slotShares{
		kept:     make(map[buckthorndyke.RunnerID]*[buckthorndyke.RankCount]float64),
		offered:  make(map[buckthorndyke.RunnerID]*[buckthorndyke.RankCount]float64),
		measured: measured, rules: rules,
	}
}

// keep counts the slot time of a request that has ended.
func (s *slotShares) addKept(id buckthorndyke.RunnerID, t *ticket, now buckthorndyke.Millis) {
	from, to := max(t.granted, s.measured.from), min(now, s.measured.to)
	if to > from {
		rankTimes(s.kept, id)[t.request.rank] += float64(to - from)
	}
}

// offer counts a request that asks a runner first.
func (s *slotShares) addOffered(id buckthorndyke.RunnerID, q request) {
	if s.measured.contains(q.at) {
		rankTimes(s.offered, id)[q.rank] += float64(q.hold)
	}
}

// addTo adds to t what each rank was entitled to and what it kept of that. A
// rank is entitled to its share of a runner's slots, and to no more than it
// asks for.
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

// ranksOf returns the times of one runner.
func rankTimes(times map[buckthorndyke.RunnerID]*[buckthorndyke.RankCount]float64, id buckthorndyke.RunnerID) *[buckthorndyke.RankCount]float64 {
	if times[id] == nil {
		times[id] = new([buckthorndyke.RankCount]float64)
	}
	return times[id]
}
