package parser

import (
	"fmt"

	"github.com/buckthorndyke/buckthorndyke"
)

// addReference records that a rule of the given kind must define the name in w. If the
// kind is kindAdapter, a rule for a model may define it instead.
func (p *parserState) addReference(l line, w word, kind string) {
	p.references = append(p.references, reference{kind: kind, position: position{line: l, word: w}})
}

// checkReferences reports the references to names that no rule defines.
func (p *parserState) checkReferences() {
	for _, r := range p.references {
		name := r.word.text
		if r.kind == kindModel {
			p.checkBase(r)
			continue
		}
		if _, ok := p.definition(r.kind, name); !ok {
			kindText := r.kind
			if kindText == kindAdapter {
				kindText = "model or adapter"
			}
			r.line.report(p, r.word.column, buckthorndyke.FaultReference,
				fmt.Sprintf("no rule defines the %s %q", kindText, name), "add its rule or remove the name")
		}
	}
}

// checkBase reports a base of an adapter that is not a model.
func (p *parserState) checkBase(r reference) {
	name := r.word.text
	if _, ok := p.names[kindModel][name]; ok {
		return
	}
	if _, ok := p.names[kindAdapter][name]; ok {
		r.line.report(p, r.word.column, buckthorndyke.FaultConflict,
			fmt.Sprintf("the base %q is an adapter", name), "name the model that the adapter was made for")
		return
	}
	r.line.report(p, r.word.column, buckthorndyke.FaultReference,
		fmt.Sprintf("no rule defines the model %q", name), "add its rule or name another base")
}

// checkShares reports shares of the paid ranks that add up to more than 100 percent.
// A rank without a rule has its default share. The fault is at the last rule for a
// rank.
func (p *parserState) checkShares() {
	total := 0
	var last position
	for rank := buckthorndyke.RankUrgent; rank < buckthorndyke.RankCount; rank++ {
		if rank.Paid() {
			total += p.rules.RankRuleOf(rank).SharePercent
		}
		if pos, ok := p.names[kindRank][rank.String()]; ok && pos.line.number > last.line.number {
			last = pos
		}
	}
	if total > maxPercent {
		last.line.report(p, last.word.column, buckthorndyke.FaultConflict,
			fmt.Sprintf("the shares of all ranks add up to %d percent, with the defaults of ranks without a rule", total),
			"lower a share-percent so that they add up to at most 100")
	}
}
