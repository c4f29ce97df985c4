package buckthorndyke

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxFaultsInMessage is the maximum number of faults listed by FaultsError.Error,
// because the message is stored in the audit trail.
const maxFaultsInMessage = 20

// Kinds of faults.
const (
	FaultAddress     FaultKind = "bad-address"
	FaultCharacter   FaultKind = "bad-character"
	FaultConflict    FaultKind = "conflict"
	FaultDuplicate   FaultKind = "duplicate"
	FaultMissing     FaultKind = "missing"
	FaultNoRequester FaultKind = "unasked"
	FaultRange       FaultKind = "out-of-range"
	FaultReference   FaultKind = "unknown-reference"
	FaultSyntax      FaultKind = "syntax"
	FaultType        FaultKind = "bad-type"
	FaultUnknownKey  FaultKind = "unknown-key"
	FaultValue       FaultKind = "bad-value"
)

// FaultKind is the kebab-case name of a kind of fault. It is part of the operator
// interface and must not change.
type FaultKind string

// FaultError is one error in a text written by an operator, such as the rules or a
// settings file.
type FaultError struct {
	Cause string
	// Column counts characters from 1.
	Column int
	Kind   FaultKind
	// Line counts from 1.
	Line int
	// Remedy says how to correct the text.
	Remedy string
}

// Error implements error.
func (f FaultError) Error() string {
	return fmt.Sprintf("line %d, column %d: %s; %s", f.Line, f.Column, f.Cause, f.Remedy)
}

// FaultsError holds all faults of one text. A text with faults is rejected.
type FaultsError struct {
	faults []FaultError
}

// NewFaults returns a *FaultsError that holds faults sorted by line and column, or
// nil if there are none.
func NewFaults(faults []FaultError) error {
	if len(faults) == 0 {
		return nil
	}
	sorted := slices.Clone(faults)
	slices.SortStableFunc(sorted, func(a, b FaultError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return &FaultsError{faults: sorted}
}

// Error implements error. It lists at most maxFaultsInMessage faults.
func (e *FaultsError) Error() string {
	var b strings.Builder
	for i, f := range e.faults {
		if i == maxFaultsInMessage {
			fmt.Fprintf(&b, "\nand %d more", len(e.faults)-i)
			break
		}
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(f.Error())
	}
	return b.String()
}

// Faults returns all faults.
func (e *FaultsError) Faults() []FaultError {
	return slices.Clone(e.faults)
}

// Verdict returns NotRun: nothing of the text was applied.
func (e *FaultsError) Verdict() Verdict {
	return NotRun
}
