package parser

import "strings"

// Marks of the lines of a difference.
const (
	prefixAdded   = "+"
	prefixRemoved = "-"
)

// Difference returns the lines that are only in old, marked "-", and then those
// that are only in updated, marked "+". The order of rules has no meaning, so a
// moved line is no difference, nor are blanks.
func Diff(old, updated string) []string {
	before, after := canonicalLines(old), canonicalLines(updated)
	var lines []string
	lines = appendUnmatched(lines, prefixRemoved, before, after)
	return appendUnmatched(lines, prefixAdded, after, before)
}

// appendUnmatched appends the lines of some that others has fewer of.
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

// canonicalLines returns the lines of text without empty ones and with single
// blanks.
func canonicalLines(text string) []string {
	var lines []string
	for l := range strings.Lines(text) {
		if fields := strings.Fields(l); len(fields) > 0 {
			lines = append(lines, strings.Join(fields, " "))
		}
	}
	return lines
}
