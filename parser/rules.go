// Package parser parses the operators' rules: plain text with one rule per line, each
// with a comment that names the person who requested it.
package parser

import (
	"fmt"
	"strings"

	"github.com/buckthorndyke/buckthorndyke"
)

// Limits on the size of the text.
const (
	// MaxTextBytes is the maximum size of the text of the rules.
	MaxTextBytes = 16 << 20
	// maxNameBytes is the maximum length of a name.
	maxNameBytes = 64
)

// Kinds of rules.
const (
	kindAdapter = "adapter"
	kindCaller  = "caller"
	kindModel   = "model"
	kindRank    = "rank"
	kindService = "service"
)

// ruleKinds lists all kinds of rules, for use in a remedy.
const ruleKinds = "adapter, caller, model, rank or service"

// Rules implements buckthorndyke.RulesParser.
type Rules struct{}

// NewRules returns a parser for rules.
func NewRules() Rules {
	return Rules{}
}

// Parse implements buckthorndyke.RulesParser. Its error is a
// *buckthorndyke.FaultsError that holds all faults.
func (Rules) Parse(text string) (buckthorndyke.Rules, error) {
	p := newParserState()
	if len(text) > MaxTextBytes {
		line{number: 1}.report(p, 1, buckthorndyke.FaultRange,
			fmt.Sprintf("the text has %d bytes", len(text)), fmt.Sprintf("write at most %d bytes", MaxTextBytes))
		return buckthorndyke.Rules{}, buckthorndyke.NewFaults(p.faults)
	}
	number := 0
	for text := range strings.SplitSeq(text, "\n") {
		number++
		if l, ok := scanLine(p, number, text); ok {
			p.parseRule(l)
		}
	}
	p.checkReferences()
	p.checkShares()
	if err := buckthorndyke.NewFaults(p.faults); err != nil {
		return buckthorndyke.Rules{}, err
	}
	return p.rules.WithModels(p.models), nil
}

// position is where a name occurs in the text.
type position struct {
	line line
	word word
}

// reference is the use of a name that another rule must define.
type reference struct {
	position
	kind string
}

// parserState holds the faults and the rules found so far while a text is parsed.
type parserState struct {
	faults []buckthorndyke.FaultError
	models []buckthorndyke.ModelRule
	// names holds the positions of all defined names by kind. It includes the names
	// of rules with faults, so that one fault does not cause faults in the rules that
	// refer to them.
	names      map[string]map[string]position
	references []reference
	rules      buckthorndyke.Rules
	tokens     map[string]position
}

func newParserState() *parserState {
	p := &parserState{names: make(map[string]map[string]position), tokens: make(map[string]position)}
	for _, kind := range []string{kindAdapter, kindCaller, kindModel, kindRank, kindService} {
		p.names[kind] = make(map[string]position)
	}
	return p
}

// parseRule parses the rule on one line.
func (p *parserState) parseRule(l line) {
	switch kind := l.words[0].text; kind {
	case kindAdapter:
		p.parseAdapter(l)
	case kindCaller:
		p.parseCaller(l)
	case kindModel:
		p.parseModel(l)
	case kindRank:
		p.parseRank(l)
	case kindService:
		p.parseService(l)
	default:
		l.report(p, l.words[0].column, buckthorndyke.FaultSyntax,
			fmt.Sprintf("%q is no kind of rule", kind), "start the line with "+ruleKinds)
	}
}

// defineName returns the name that the rule on l defines, and whether it is valid. The
// names of models and adapters share one namespace.
func (p *parserState) defineName(l line) (word, bool) {
	kind := l.words[0].text
	if len(l.words) < 2 || strings.Contains(l.words[1].text, "=") {
		l.report(p, l.words[0].column, buckthorndyke.FaultMissing,
			fmt.Sprintf("the %s has no name", kind), "write its name after "+kind)
		return word{}, false
	}
	name := l.words[1]
	if !isName(name.text) {
		l.report(p, name.column, buckthorndyke.FaultValue, fmt.Sprintf("%q is no name", name.text),
			fmt.Sprintf("write at most %d lower-case letters and digits with single hyphens between", maxNameBytes))
		return word{}, false
	}
	if first, ok := p.definition(kind, name.text); ok {
		l.report(p, name.column, buckthorndyke.FaultDuplicate,
			fmt.Sprintf("%q is already defined on line %d", name.text, first.line.number), "keep one or rename one")
		return word{}, false
	}
	p.names[kind][name.text] = position{line: l, word: name}
	return name, true
}

// definition returns the position at which a name of the given kind is defined, and
// whether there is one. Models and adapters are looked up under both kinds.
func (p *parserState) definition(kind, name string) (position, bool) {
	pos, ok := p.names[kind][name]
	switch {
	case ok:
	case kind == kindAdapter:
		pos, ok = p.names[kindModel][name]
	case kind == kindModel:
		pos, ok = p.names[kindAdapter][name]
	default:
	}
	return pos, ok
}

// isName reports whether text is a name in kebab case.
func isName(text string) bool {
	if text == "" || len(text) > maxNameBytes {
		return false
	}
	for part := range strings.SplitSeq(text, "-") {
		if part == "" || strings.Trim(part, "abcdefghijklmnopqrstuvwxyz0123456789") != "" {
			return false
		}
	}
	return true
}
