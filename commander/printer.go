package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
)

// columnGap is the number of blanks between columns.
const columnGap = 2

// printer writes what a sub-command prints.
type printer struct {
	stderr io.Writer
	stdout io.Writer
}

// error writes err to standard error.
func (p printer) error(err error) {
	_, _ = fmt.Fprintf(p.stderr, "%s: %v\n", program, err)
}

// json writes value to standard output.
func (p printer) json(value any) error {
	encoder := json.NewEncoder(p.stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write to standard output")
}

// printf writes to standard output.
func (p printer) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.stdout, format, args...)
}

// table writes rows in columns to standard output. The first row is the heading.
func (p printer) table(rows [][]string) {
	w := tabwriter.NewWriter(p.stdout, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, cell)
		}
		_, _ = fmt.Fprintln(w)
	}
	_ = w.Flush()
}

// checkAnswer is what a check prints as JSON.
type checkAnswer struct {
	Faults []operator.FaultItem `json:"faults"`
	File   string               `json:"file"`
	Valid  bool                 `json:"valid"`
}

// checked reports the outcome of checking a file: its faults with their places,
// or that it is valid.
func (p printer) checked(path string, err error, asJSON bool) error {
	answer := checkAnswer{Faults: []operator.FaultItem{}, File: path, Valid: err == nil}
	for _, f := range faultsOf(err) {
		answer.Faults = append(answer.Faults, operator.FaultItem(f))
	}
	if asJSON {
		if failed := p.json(answer); failed != nil {
			return failed
		}
	}
	if err == nil && !asJSON {
		p.printf("%s is valid\n", path)
	}
	return p.faulty(path, err)
}

// faulty writes each fault of a file to standard error, and returns the error to
// end with.
func (p printer) faulty(path string, err error) error {
	faults := faultsOf(err)
	for _, f := range faults {
		_, _ = fmt.Fprintf(p.stderr, "%s:%d:%d: %s; %s\n", path, f.Line, f.Column, f.Cause, f.Remedy)
	}
	if len(faults) == 0 {
		return err
	}
	return errors.Newf("%s has %d faults; mend them and try again", path, len(faults))
}

// faultsOf returns the faults in err's chain.
func faultsOf(err error) []buckthorndyke.FaultError {
	var faults *buckthorndyke.FaultsError
	if !errors.As(err, &faults) {
		return nil
	}
	return faults.Faults()
}
