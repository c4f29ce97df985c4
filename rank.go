package buckthorndyke

// Ranks, in order of precedence.
const (
	RankUrgent Rank = iota
	RankOrdinary
	RankFree

	// RankCount is the number of ranks.
	RankCount = 3
)

// Rank is the precedence of a caller's requests. Lower values are served first.
type Rank uint8

// Paid reports whether requests of this rank are paid for.
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

// ParseRank returns the rank with the given name, or false if there is none.
func ParseRank(name string) (Rank, bool) {
	for r := RankUrgent; r < RankCount; r++ {
		if r.String() == name {
			return r, true
		}
	}
	return RankFree, false
}
