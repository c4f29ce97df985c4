package parser

import "strings"

// Prefixes of the lines of a diff.
const (
	prefixAdded   = "+"
	prefixRemoved = "-"
)

// Diff returns the lines that are only in old, with the prefix "-", followed by those
// that are only in updated, with the prefix "+". The order of rules has no meaning, so
// moved lines are ignored, as are empty lines and the amount of white space.
func Diff(old, updated string) []string {
	before, after := canonicalLines(old), canonicalLines(updated)
	var lines []string
	lines = appendUnmatched(lines, prefixRemoved, before, after)
	return appendUnmatched(lines, prefixAdded, after, before)
}

// appendUnmatched appends the lines of from that are not in other, with the given
// prefix. A line that occurs several times matches as many times as it is in other.
func appendUnmatched(lines []string, prefix string, from, other []string) []string {
	unmatched := make(map[string]int, len(other))
	for _, l := range other {
		unmatched[l]++
	}
	for _, l := range from {
		if unmatched[l] > 0 {
			unmatched[l]--
			continue
		}
		lines = append(lines, prefix+l)
	}
	return lines
}

// canonicalLines returns the non-empty lines of text, with white space reduced to
// single spaces.
func canonicalLines(text string) []string {
	var lines []string
	for l := range strings.Lines(text) {
		if fields := strings.Fields(l); len(fields) > 0 {
			lines = append(lines, strings.Join(fields, " "))
		}
	}
	return lines
}
