package parser

import "strings"

// Marks of the lines of a difference.
const (
	markAdded   = "+"
	markRemoved = "-"
)

// Difference returns the lines that are only in old, marked "-", and then those
// that are only in updated, marked "+". The order of rules has no meaning, so a
// moved line is no difference, nor are blanks.
func Diff(old, updated string) []string {
	before, after := canonicalLines(old), canonicalLines(updated)
	var lines []string
	lines = appendUnmatched(lines, markRemoved, before, after)
	return appendUnmatched(lines, markAdded, after, before)
}

// appendUnmatched appends the lines of some that others has fewer of.
func appendUnmatched(lines []string, mark string, some, others []string) []string {
	left := make(map[string]int, len(others))
	for _, l := range others {
		left[l]++
	}
	for _, l := range some {
		if left[l] > 0 {
			left[l]--
			continue
		}
		lines = append(lines, mark+l)
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
