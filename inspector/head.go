package inspector

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxStatus is the highest status that has a meaning.
	maxStatus = 599
	// newline ends a line. A carriage return before it belongs to the end of the line.
	newline = "\n"
	// oldVersion is the version without chunks and interim responses.
	oldVersion = "HTTP/1.0"
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// versionPrefix is the beginning of the versions that are supported. One digit follows.
	versionPrefix = "HTTP/1."
)

// statusLine is the first line of a head.
type statusLine struct {
	status  int
	version string
}

// BlockEnd returns the size of the lines up to the first empty one, with their ends, or 0 if there
// is no empty line.
func BlockEnd(data []byte) int {
	for start := 0; ; {
		i := bytes.IndexByte(data[start:], '\n')
		if i < 0 {
			return 0
		}
		line := data[start : start+i]
		start += i + 1
		if len(line) == 0 || string(line) == "\r" {
			return start
		}
	}
}

// CheckHead returns an error unless head, including the empty line that ends it, is the head of
// a response in HTTP/1.
func CheckHead(head []byte) error {
	if n := shortEnds(head); n > 0 && n < bytes.Count(head, []byte(newline)) {
		// A line feed alone may stand in a name: the rest of the head would be read as the body.
		return errors.New("some lines of the head end without a carriage return")
	}
	line, fields := cutLine(head)
	first, err := parseStatusLine(line)
	if err != nil {
		return err
	}
	var coded, sized bool
	err = eachField(fields, func(name, value string) {
		switch http.CanonicalHeaderKey(name) {
		case "Content-Length":
			sized = sized || value != "0"
		case "Transfer-Encoding":
			coded = true
		}
	})
	switch {
	case err != nil:
		return err
	case coded && first.version == oldVersion:
		return errors.Newf("a response in %s has a transfer encoding", oldVersion)
	case first.status < http.StatusOK && (coded || sized):
		return errors.Newf("an interim response with status %d declares a body", first.status)
	default:
		return nil
	}
}

// CheckTrailer returns an error unless trailer, including the empty line that ends it, is the
// trailer of a body in chunks. Its lines have whole ends, like those of chunks.
func CheckTrailer(trailer []byte) error {
	if shortEnds(trailer) > 0 {
		return errors.New("a line of the trailer ends without a carriage return")
	}
	return eachField(trailer, func(string, string) {})
}

// cutLine returns the first line without its end, and the rest.
func cutLine(data []byte) (string, []byte) {
	line, rest, _ := bytes.Cut(data, []byte(newline))
	return string(bytes.TrimSuffix(line, []byte("\r"))), rest
}

// eachField calls f with each field up to the empty line, with its value trimmed. It fails at a
// line that is no field. A line that begins with a blank is none: it continues the line before
// in an obsolete form, and its sender may have meant a field.
func eachField(lines []byte, f func(name, value string)) error {
	for {
		var line string
		line, lines = cutLine(lines)
		if line == "" {
			return nil
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return errors.Newf("the line %.80q is not a header field", line)
		}
		f(name, strings.Trim(value, " \t"))
	}
}

// parseStatusLine parses the first line of a head. It fails if the status has no meaning, or
// says that another protocol follows.
func parseStatusLine(line string) (statusLine, error) {
	version, rest, _ := strings.Cut(line, " ")
	digits, reason, _ := strings.Cut(rest, " ")
	minor, ok := strings.CutPrefix(version, versionPrefix)
	status := 0
	for _, digit := range digits {
		ok = ok && digit >= '0' && digit <= '9'
		status = 10*status + int(digit-'0')
	}
	ok = ok && len(minor) == 1 && minor[0] >= '0' && minor[0] <= '9'
	if !ok || len(digits) != statusDigits || !httpguts.ValidHeaderFieldValue(reason) {
		return statusLine{}, errors.Newf("%.80q is not the status line of a response", line)
	}
	return statusLine{status: status, version: version}, CheckStatus(status)
}

// shortEnds returns the number of lines that end without a carriage return.
func shortEnds(lines []byte) int {
	return bytes.Count(lines, []byte(newline)) - bytes.Count(lines, []byte("\r"+newline))
}

// CheckStatus returns an error unless a response can have the given status. A status below 100 or
// above 599 has no meaning, and a server must not switch to another protocol by itself.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Newf("%03d is not the status of a response", status)
	}
	return nil
}
