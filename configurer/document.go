// Package configurer reads settings files: JSON with comments. It reports all
// faults of a file at once.
package configurer

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"github.com/buckthorndyke/buckthorndyke"
)

// maxSettingsBytes bounds a settings file.
const maxSettingsBytes = 256 << 10

// document is a settings file while it is read.
type document struct {
	data   []byte
	faults []buckthorndyke.FaultError
}

// parse returns the outermost object of data.
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
		return hujson.Value{}, fmt.Errorf("the file has more than %d bytes", maxSettingsBytes)
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

// reportSyntax records an error of the library, which gives its place only in
// the text of the error. Its column counts bytes.
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
	d.report(offset, buckthorndyke.FaultSyntax, cause, "write JSON; // comments and trailing commas are allowed")
}
