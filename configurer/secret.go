package configurer

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
)

// minSecretBytes is the least length of a key or token.
const minSecretBytes = 16

// maxSecretBytes is the greatest length of a key or token.
const maxSecretBytes = 512

// Secret is a key or token, which the settings give or name a file of.
type Secret struct {
	// File is the path of the file that holds the secret, or empty.
	File string
	// Text is the secret. It is empty until a named file was read.
	Text string
}

// GoString hides the secret like String.
func (s Secret) GoString() string {
	return s.String()
}

// String hides the secret, so that it cannot be logged by mistake.
func (s Secret) String() string {
	return "(secret)"
}

// withFile returns s with the text of its file, if it names one.
func (s Secret) withFile(read func(path string) ([]byte, error)) (Secret, error) {
	if s.File == "" {
		return s, nil
	}
	data, err := read(s.File)
	if err != nil {
		return s, errors.Wrap(err, "read a secret; make the file readable or correct its path")
	}
	s.Text = strings.TrimSpace(string(data))
	if cause, ok := checkSecret(s.Text); !ok {
		return s, errors.Newf("the secret in %s %s; write another into the file", s.File, cause)
	}
	return s, nil
}

// checkSecret returns what is wrong with a secret, and whether it can be used.
func checkSecret(text string) (string, bool) {
	if len(text) < minSecretBytes || len(text) > maxSecretBytes {
		return fmt.Sprintf("does not have %d to %d characters", minSecretBytes, maxSecretBytes), false
	}
	for _, r := range text {
		if r <= ' ' || r > '~' {
			return "holds a blank or another character than plain ASCII", false
		}
	}
	return "", true
}

// secret returns the secret under key, or the file under key-file. Exactly one
// must be given.
func (o object) secret(key string) Secret {
	fileKey := key + "-file"
	text, offset, hasText := o.text(key, false)
	file, fileOffset, hasFile := o.text(fileKey, false)
	if hasText {
		if cause, ok := checkSecret(text); !ok {
			o.d.report(offset, buckthorndyke.FaultValue, fmt.Sprintf("the %s %s", key, cause), "write a long random one")
		}
	}
	switch {
	case hasText && hasFile:
		o.d.report(fileOffset, buckthorndyke.FaultConflict, fmt.Sprintf("%s has both %q and %q", o.label, key, fileKey), "keep one")
	case hasFile && file == "":
		o.d.report(fileOffset, buckthorndyke.FaultValue, fmt.Sprintf("%q is empty", fileKey), "write the path of a file")
	case !o.has(key) && !o.has(fileKey):
		o.reportMissing(key)
	default:
	}
	return Secret{File: file, Text: text}
}
