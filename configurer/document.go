// Package configurer parses settings files, which are JSON with comments and
// trailing commas. It reports all faults of a file together.
package configurer

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"github.com/buckthorndyke/buckthorndyke"
)

// maxSettingsBytes is the maximum size of a settings file.
const maxSettingsBytes = 256 << 10

// document is a settings file that is being parsed, with the faults found so far.
type document struct {
	data   []byte
	faults []buckthorndyke.FaultError
}

// parse returns the top-level object of the file. If the file has a syntax error,
// it records the fault and returns an absent object.
func (d *document) parse() object {
	value, err := d.syntax()
	if err != nil {
		d.reportSyntax(err)
		return object{d: d, absent: true}
	}
	return d.object("the file", value)
}

// syntax returns the syntax tree of the file.
func (d *document) syntax() (hujson.Value, error) {
	switch {
	case len(d.data) > maxSettingsBytes:
		return hujson.Value{}, fmt.Errorf("the file is larger than %d bytes", maxSettingsBytes)
	case !utf8.Valid(d.data):
		return hujson.Value{}, fmt.Errorf("the file is not valid UTF-8")
	default:
		return hujson.Parse(d.data)
	}
}

// report records a fault at a byte offset.
func (d *document) report(offset int, kind buckthorndyke.FaultKind, cause, remedy string) {
	before := d.data[:min(offset, len(d.data))]
	start := bytes.LastIndexByte(before, '\n') + 1
	d.faults = append(d.faults, buckthorndyke.FaultError{
		Cause:  cause,
		Column: utf8.RuneCount(before[start:]) + 1,
		Kind:   kind,
		Line:   bytes.Count(before, []byte("\n")) + 1,
		Remedy: remedy,
	})
}

// reportSyntax records a syntax error. The hujson library gives the position only
// in the error's text, with a column that counts bytes.
func (d *document) reportSyntax(err error) {
	var line, column int
	cause := err.Error()
	if n, _ := fmt.Sscanf(cause, "hujson: line %d, column %d:", &line, &column); n == 2 {
		_, cause, _ = strings.Cut(cause, fmt.Sprintf("column %d: ", column))
	}
	offset := 0
	for range line - 1 {
		offset += bytes.IndexByte(d.data[offset:], '\n') + 1
	}
	offset += max(column-1, 0)
	d.report(offset, buckthorndyke.FaultSyntax, cause, "write valid JSON; // comments and trailing commas are allowed")
}
