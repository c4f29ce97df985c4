package arbiter

import (
	"fmt"

	"github.com/buckthorndyke/buckthorndyke"
)

// applyQuarantine blocks a request that crashes runners. At the limit it drops the
// oldest quarantine.
func (a *Arbiter) applyQuarantine(
	s buckthorndyke.State, r record, c buckthorndyke.QuarantineChange,
) (buckthorndyke.State, string) {
	have, _ := s.Quarantines.Get(c.Fingerprint)
	s = s.WithQuarantine(buckthorndyke.Quarantine{
		Crashes:     max(c.Crashes, have.Crashes),
		Fingerprint: c.Fingerprint,
		Model:       c.Model,
		Offset:      r.offset,
	})
	if s.Quarantines.Len() > a.quarantineLimit {
		s = s.WithoutQuarantine(oldestQuarantine(s))
	}
	return s, ""
}

// applyRules replaces the rules if the change is based on the current version and its
// text can be parsed. It adds an audit entry in either case.
func (a *Arbiter) applyRules(s buckthorndyke.State, r record, c buckthorndyke.RulesChange) (buckthorndyke.State, string) {
	rules, reason := a.checkRules(s, c)
	entry := buckthorndyke.AuditEntry{
		Accepted: reason == "",
		At:       r.at,
		Base:     c.Base,
		Operator: c.Operator,
		Diff:     truncatedDiff(a.diff(s.RulesText, c.Text)),
		Offset:   r.offset,
		Reason:   reason,
	}
	if entry.Accepted {
		s = withoutEmptyPlacements(s.WithRules(rules, c.Text, r.offset))
	}
	return s.WithAudit(entry, a.auditLimit), reason
}

// checkRules returns the parsed rules in c, or the reason for their rejection.
func (a *Arbiter) checkRules(s buckthorndyke.State, c buckthorndyke.RulesChange) (buckthorndyke.Rules, string) {
	if c.Base != s.RulesVersion {
		return buckthorndyke.Rules{}, fmt.Sprintf("%s: %s, the current one is %s", reasonBase, c.Base, s.RulesVersion)
	}
	rules, err := a.parser.Parse(c.Text)
	if err != nil {
		return buckthorndyke.Rules{}, err.Error()
	}
	return rules, ""
}

// truncatedDiff returns the first lines of a diff, followed by a line with the number
// of omitted ones.
func truncatedDiff(lines []string) []string {
	if len(lines) <= diffLineLimit {
		return lines
	}
	rest := fmt.Sprintf("... and %d more lines", len(lines)-diffLineLimit)
	return append(lines[:diffLineLimit:diffLineLimit], rest)
}

// oldestQuarantine returns the fingerprint of the oldest quarantine.
func oldestQuarantine(s buckthorndyke.State) buckthorndyke.Fingerprint {
	var oldest buckthorndyke.Quarantine
	for _, q := range s.Quarantines.All() {
		if oldest.Offset == buckthorndyke.NoOffset || q.Offset < oldest.Offset {
			oldest = q
		}
	}
	return oldest.Fingerprint
}

// withoutEmptyPlacements removes the placements without slots of models that are not
// in the rules any more.
func withoutEmptyPlacements(s buckthorndyke.State) buckthorndyke.State {
	next := s
	for model, placement := range s.Placements.All() {
		if placement.SlotCount() == 0 && !s.Rules.Models.Has(model) {
			next = next.WithoutPlacement(model)
		}
	}
	return next
}
