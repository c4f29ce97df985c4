package buckthorndyke

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// redacted is what a Credential prints as.
const redacted = "[redacted]"

// Credential is the key that a client has sent, and the header fields that it was in. It
// prints as redacted in every format. It is immutable, and the zero value has no key.
type Credential struct {
	// secret is a function, because the fmt package prints a Credential in an unexported
	// field without calling its methods, and follows pointers for verbs that do not apply.
	secret func() secret
}

// secret is the content of a Credential.
type secret struct {
	digest KeyDigest
	fields http.Header
	hasKey bool
}

// NewCredential returns the credential with key, or one without a key if key is empty.
func NewCredential(key string) Credential {
	if key == "" {
		return Credential{}
	}
	return newCredential(secret{digest: DigestKey(key), hasKey: true})
}

// newCredential returns the credential with the content s.
func newCredential(s secret) Credential {
	return Credential{secret: func() secret { return s }}
}

// Digest returns the digest of the key, or false if the client has sent none.
func (c Credential) Digest() (KeyDigest, bool) {
	s := c.content()
	return s.digest, s.hasKey
}

// Fields returns the header fields that are forwarded if the configuration has no callers.
func (c Credential) Fields() http.Header {
	return c.content().fields
}

// Format implements fmt.Formatter.
func (c Credential) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// MarshalJSON implements json.Marshaler.
func (c Credential) MarshalJSON() ([]byte, error) { return json.Marshal(redacted) }

// WithFields returns a credential that was in the given header fields.
func (c Credential) WithFields(fields http.Header) Credential {
	s := c.content()
	s.fields = fields
	return newCredential(s)
}

// content returns the content, which is empty for the zero value.
func (c Credential) content() secret {
	if c.secret == nil {
		return secret{}
	}
	return c.secret()
}
