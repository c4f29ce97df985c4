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

// columnGap is the number of spaces between columns.
const columnGap = 2

// printer writes the output of a sub-command.
type printer struct {
	stderr io.Writer
	stdout io.Writer
}

// error writes err to standard error.
func (p printer) error(err error) {
	_, _ = fmt.Fprintf(p.stderr, "%s: %v\n", program, err)
}

// json writes value as JSON to standard output.
func (p printer) json(value any) error {
	encoder := json.NewEncoder(p.stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write to standard output")
}

// printf writes to standard output.
func (p printer) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.stdout, format, args...)
}

// table writes rows with aligned columns to standard output. The first row is the
// heading.
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

// checkOutput is the JSON output of rules check and settings check.
type checkOutput struct {
	Faults []operator.FaultItem `json:"faults"`
	File   string               `json:"file"`
	Valid  bool                 `json:"valid"`
}

// reportCheck prints the result of checking a file: its faults with line and column,
// or that it is valid. It returns the error of the sub-command.
func (p printer) reportCheck(path string, err error, asJSON bool) error {
	response := checkOutput{Faults: []operator.FaultItem{}, File: path, Valid: err == nil}
	for _, f := range faultsOf(err) {
		response.Faults = append(response.Faults, operator.FaultItem(f))
	}
	if asJSON {
		if failed := p.json(response); failed != nil {
			return failed
		}
	}
	if err == nil && !asJSON {
		p.printf("%s is valid\n", path)
	}
	return p.reportFaults(path, err)
}

// reportFaults writes the faults in err's chain to standard error and returns the error
// of the sub-command: err itself if it has no faults, and else an error with their number.
func (p printer) reportFaults(path string, err error) error {
	faults := faultsOf(err)
	for _, f := range faults {
		_, _ = fmt.Fprintf(p.stderr, "%s:%d:%d: %s; %s\n", path, f.Line, f.Column, f.Cause, f.Remedy)
	}
	if len(faults) == 0 {
		return err
	}
	return errors.Newf("%s has %d faults; correct them and try again", path, len(faults))
}

// faultsOf returns the faults in err's chain.
func faultsOf(err error) []buckthorndyke.FaultError {
	var faults *buckthorndyke.FaultsError
	if !errors.As(err, &faults) {
		return nil
	}
	return faults.Faults()
}
