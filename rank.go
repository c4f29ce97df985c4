package buckthorndyke

// Ranks, in order of precedence.
const (
	RankUrgent Rank = iota
	RankOrdinary
	RankFree

	// RankCount is the number of ranks.
	RankCount = 3
)

// Rank is the precedence of a caller's work. A lower value goes first.
type Rank uint8

// Paid reports whether work of this rank is paid for.
func (r Rank) Paid() bool {
	return r < RankFree
}

// String returns the rank's name in rules and metrics.
func (r Rank) String() string {
	switch r {
	case RankUrgent:
		return "urgent"
	case RankOrdinary:
		return "ordinary"
	case RankFree:
		return "free"
	default:
		return "unknown"
	}
}

// ParseRank returns the rank called name and whether there is one.
func ParseRank(name string) (Rank, bool) {
	for r := RankUrgent; r < RankCount; r++ {
		if r.String() == name {
			return r, true
		}
	}
	return RankFree, false
}
