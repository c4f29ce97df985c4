package configurer

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
)

// minSecretBytes is the minimum length of a key or token.
const minSecretBytes = 16

// maxSecretBytes is the maximum length of a key or token.
const maxSecretBytes = 512

// Secret is a key or token. The settings contain either the secret itself or the
// path of a file that contains it.
type Secret struct {
	// File is the path of the file that contains the secret, or empty.
	File string
	// Text is the secret. If File is set, it is empty until the file has been read.
	Text string
}

// GoString returns a placeholder, as String does, so that %#v does not print the
// secret.
func (s Secret) GoString() string {
	return s.String()
}

// String returns a placeholder, so that the secret cannot be logged by mistake.
func (s Secret) String() string {
	return "(secret)"
}

// withFile returns s with the secret read from its file. Without a file it returns s
// unchanged. The secret must meet the conditions of checkSecret.
func (s Secret) withFile(read func(path string) ([]byte, error)) (Secret, error) {
	if s.File == "" {
		return s, nil
	}
	data, err := read(s.File)
	if err != nil {
		return s, errors.Wrap(err, "read a secret from its file; make the file readable or correct its path")
	}
	s.Text = strings.TrimSpace(string(data))
	if cause, ok := checkSecret(s.Text); !ok {
		return s, errors.Newf("the secret in the file %s %s; write a valid secret to the file", s.File, cause)
	}
	return s, nil
}

// checkSecret reports whether text is a valid secret. If not, it returns the reason as
// a predicate such as "does not have 16 to 512 characters".
func checkSecret(text string) (string, bool) {
	if len(text) < minSecretBytes || len(text) > maxSecretBytes {
		return fmt.Sprintf("does not have %d to %d characters", minSecretBytes, maxSecretBytes), false
	}
	for _, r := range text {
		if r <= ' ' || r > '~' {
			return "contains a space or a character that is not printable ASCII", false
		}
	}
	return "", true
}

// secret returns the secret under key, or the path under the same key with the suffix
// "-file". Exactly one of the two must be given.
func (o object) secret(key string) Secret {
	fileKey := key + "-file"
	text, offset, hasText := o.text(key, false)
	file, fileOffset, hasFile := o.text(fileKey, false)
	if hasText {
		if cause, ok := checkSecret(text); !ok {
			o.d.report(offset, buckthorndyke.FaultValue, fmt.Sprintf("the %s %s", key, cause), "write a long random string of printable ASCII characters without spaces")
		}
	}
	switch {
	case hasText && hasFile:
		o.d.report(fileOffset, buckthorndyke.FaultConflict, fmt.Sprintf("%s has both %q and %q", o.label, key, fileKey), "remove one of them")
	case hasFile && file == "":
		o.d.report(fileOffset, buckthorndyke.FaultValue, fmt.Sprintf("%q is empty", fileKey), "write the path of a file")
	case !o.has(key) && !o.has(fileKey):
		o.reportMissing(key)
	default:
	}
	return Secret{File: file, Text: text}
}
