package sequencer

import "github.com/buckthorndyke/buckthorndyke"

const (
	// spanWeight is the number of durations over which the averages of a Span are taken.
	spanWeight = 16
	// minSpans is the number of durations from which on they predict others.
	minSpans = 4
	// spanDeviations is the number of mean deviations that a prediction is above the mean.
	spanDeviations = 2
)

// Span predicts how long a request takes from how long others took: their mean and twice
// their mean deviation. It is immutable.
type Span struct {
	deviation, mean float64
	n               int
}

// Value returns the predicted duration, or 0 if too few are known.
func (s Span) Value() buckthorndyke.Millis {
	if s.n < minSpans {
		return 0
	}
	return buckthorndyke.Millis(s.mean + spanDeviations*s.deviation)
}

// With returns the span with one more duration.
func (s Span) With(d buckthorndyke.Millis) Span {
	s.n++
	weight := float64(min(s.n, spanWeight))
	difference := float64(d) - s.mean
	s.mean += difference / weight
	if s.n > 1 {
		s.deviation += (max(difference, -difference) - s.deviation) / weight
	}
	return s
}
