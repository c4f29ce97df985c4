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
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// versionPrefix is the beginning of the versions that are supported. One digit follows.
	versionPrefix = "HTTP/1."
)

// CheckHead returns an error unless head, including the empty line that ends it, is the head of
// a response in HTTP/1.
func CheckHead(head []byte) error {
	line, _, _ := bytes.Cut(head, []byte(newline))
	return checkStatusLine(string(bytes.TrimSuffix(line, []byte("\r"))))
}

// checkStatusLine checks the first line of a head. It fails if the status has no meaning, or
// says that another protocol follows.
func checkStatusLine(line string) error {
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
		return errors.Newf("%.80q is not the status line of a response", line)
	}
	return CheckStatus(status)
}

// CheckStatus returns an error unless a response can have the given status. A status below 100 or
// above 599 has no meaning, and a server must not switch to another protocol by itself.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Newf("%03d is not the status of a response", status)
	}
	return nil
}
