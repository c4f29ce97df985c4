package parser

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/buckthorndyke/buckthorndyke"
)

// Keys of the fields of rules.
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

// fields holds the key=value words of one rule.
type fields struct {
	line   line
	p      *parserState
	values map[string]word
}

// scanFields parses the words after a rule's name. Each required key must occur once,
// each optional key may occur once, and no other key is allowed.
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

// add parses one key=value word. It records a fault if the word has no "=", or if its
// key is not allowed or was given before.
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

// integer returns the whole number under key, which must be from low to high. It
// returns fallback if the number is absent or invalid.
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

// list returns the comma-separated items under key, without empty and repeated ones,
// which it reports.
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

// report records a fault at the start of w.
func (f fields) report(w word, kind buckthorndyke.FaultKind, cause, remedy string) {
	f.line.report(f.p, w.column, kind, cause, remedy)
}
