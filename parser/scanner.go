package parser

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/buckthorndyke/buckthorndyke"
)

// requesterPrefix is the start of the comment that every rule must have. The name of
// the requester follows it.
const requesterPrefix = "asked for by "

// word is a sequence of characters without spaces and tabs.
type word struct {
	// column counts characters from 1.
	column int
	text   string
}

// line is a line of the text that contains a rule.
type line struct {
	number      int
	requestedBy string
	words       []word
}

// report records a fault at a column of the line.
func (l line) report(p *parserState, column int, kind buckthorndyke.FaultKind, cause, remedy string) {
	p.faults = append(p.faults, buckthorndyke.FaultError{
		Cause:  cause,
		Column: column,
		Kind:   kind,
		Line:   l.number,
		Remedy: remedy,
	})
}

// scanLine splits text, the line with the given number, into words, and reports whether
// the line contains a rule to parse. Lines without words and lines with an invalid
// character do not.
func scanLine(p *parserState, number int, text string) (line, bool) {
	l := line{number: number}
	if !l.checkCharacters(p, text) {
		return l, false
	}
	body, comment, hasComment := strings.Cut(text, "#")
	l.words = splitWords(body)
	if len(l.words) == 0 {
		return l, false
	}
	l.requestedBy = requester(comment)
	if l.requestedBy == "" {
		column := utf8.RuneCountInString(strings.TrimRight(body, " \t")) + 1
		if hasComment {
			column = utf8.RuneCountInString(body) + 1
		}
		l.report(p, column, buckthorndyke.FaultNoRequester, "the rule does not say who asked for it",
			"end the line in \"# asked for by NAME\"")
	}
	return l, true
}

// requester returns the name in a comment of the form "asked for by NAME", or an empty
// string for any other comment.
func requester(comment string) string {
	name, ok := strings.CutPrefix(strings.TrimLeft(comment, " \t"), requesterPrefix)
	if !ok {
		return ""
	}
	return strings.TrimSpace(name)
}

// checkCharacters returns whether text is valid UTF-8 without control and formatting
// characters other than tabs, and reports the first invalid character. Formatting
// characters could make a rule look different from what it says.
func (l line) checkCharacters(p *parserState, text string) bool {
	column := 0
	for i, r := range text {
		column++
		if r == '\t' {
			continue
		}
		_, size := utf8.DecodeRuneInString(text[i:])
		broken := r == utf8.RuneError && size == 1
		if !broken && !unicode.IsControl(r) && !unicode.Is(unicode.Cf, r) {
			continue
		}
		cause := fmt.Sprintf("the character %U is not allowed", r)
		if broken {
			cause = "the text is not valid UTF-8"
		}
		l.report(p, column, buckthorndyke.FaultCharacter, cause,
			"remove it; write plain UTF-8 with line feeds at the ends of lines")
		return false
	}
	return true
}

// splitWords returns the words of body, the part of a line before its comment.
func splitWords(body string) []word {
	var words []word
	column, start, startColumn := 0, -1, 0
	for i, r := range body {
		column++
		blank := r == ' ' || r == '\t'
		switch {
		case blank && start >= 0:
			words = append(words, word{column: startColumn, text: body[start:i]})
			start = -1
		case !blank && start < 0:
			start, startColumn = i, column
		default:
		}
	}
	if start >= 0 {
		words = append(words, word{column: startColumn, text: body[start:]})
	}
	return words
}
