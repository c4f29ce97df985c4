package parser

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/buckthorndyke/buckthorndyke"
)

// Keys of fields.
const (
	keyBase         = "base"
	keyFirstToken   = "first-token-ms"
	keyIdempotent   = "idempotent"
	keyMaxTokens    = "max-tokens"
	keyMemory       = "memory-mb"
	keyModels       = "models"
	keyQueueLimit   = "queue-limit"
	keyRank         = "rank"
	keyReplicas     = "replicas"
	keyServices     = "services"
	keySharePercent = "share-percent"
	keyTokenSHA256  = "token-sha256"
)

// fields are the key=value words of one rule.
type fields struct {
	line   line
	p      *parserState
	values map[string]word
}

// scanFields reads the words after a rule's name. The words must give each
// required key once, may give each optional key once, and no other.
func scanFields(p *parserState, l line, required, optional []string) fields {
	f := fields{line: l, p: p, values: make(map[string]word)}
	allowed := slices.Concat(required, optional)
	for _, w := range l.words[min(2, len(l.words)):] {
		f.add(w, allowed)
	}
	for _, key := range required {
		if _, ok := f.values[key]; !ok {
			l.report(p, l.words[0].column, buckthorndyke.FaultMissing,
				fmt.Sprintf("the %s has no %s", l.words[0].text, key), "add "+key+"=VALUE")
		}
	}
	return f
}

// add takes one key=value word.
func (f fields) add(w word, allowed []string) {
	key, value, ok := strings.Cut(w.text, "=")
	if !ok {
		f.line.report(f.p, w.column, buckthorndyke.FaultSyntax,
			fmt.Sprintf("%q has no value", w.text), "write KEY=VALUE without blanks")
		return
	}
	if !slices.Contains(allowed, key) {
		f.line.report(f.p, w.column, buckthorndyke.FaultUnknownKey,
			fmt.Sprintf("a %s has no %q", f.line.words[0].text, key), "use only "+strings.Join(allowed, ", "))
		return
	}
	if _, ok := f.values[key]; ok {
		f.line.report(f.p, w.column, buckthorndyke.FaultDuplicate,
			fmt.Sprintf("%s is given twice", key), "keep one")
		return
	}
	f.values[key] = word{column: w.column + utf8.RuneCountInString(key) + 1, text: value}
}

// integer returns the number under key, or fallback if it is absent or wrong.
func (f fields) integer(key string, fallback, low, high int) int {
	w, ok := f.values[key]
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(w.text)
	if err != nil || strconv.Itoa(n) != w.text || n < low || n > high {
		f.report(w, buckthorndyke.FaultRange, fmt.Sprintf("%s is %q", key, w.text),
			fmt.Sprintf("write a whole number from %d to %d", low, high))
		return fallback
	}
	return n
}

// list returns the comma-separated items under key.
func (f fields) list(key string) []word {
	w, ok := f.values[key]
	if !ok {
		return nil
	}
	var items []word
	seen := make(map[string]bool)
	column := w.column
	for text := range strings.SplitSeq(w.text, ",") {
		item := word{column: column, text: text}
		column += utf8.RuneCountInString(text) + 1
		switch {
		case text == "":
			f.report(item, buckthorndyke.FaultValue, key+" has an empty item", "write items with one comma between them")
		case seen[text]:
			f.report(item, buckthorndyke.FaultDuplicate, fmt.Sprintf("%s has %q twice", key, text), "keep one")
		default:
			seen[text] = true
			items = append(items, item)
		}
	}
	return items
}

// report records a fault at w.
func (f fields) report(w word, kind buckthorndyke.FaultKind, cause, remedy string) {
	f.line.report(f.p, w.column, kind, cause, remedy)
}
