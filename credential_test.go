package buckthorndyke_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

// TestCredential guards against a key in a log line or an error message.
func TestCredential(t *testing.T) {
	const key = "k7b2ex5wa5xwyhks8nbk"
	credential := buckthorndyke.NewCredential(key).WithFields(http.Header{"F": {key}})
	request := buckthorndyke.RelayRequest{Credential: credential}
	// Fields that are not exported are printed without their methods.
	hidden := struct{ request *buckthorndyke.RelayRequest }{&request}
	nested := struct{ request buckthorndyke.RelayRequest }{request}
	for _, format := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		t.Run("a credential is redacted as "+format, func(t *testing.T) {
			for _, value := range []any{credential, &credential, request, &request, hidden, nested, []any{credential}} {
				got := fmt.Sprintf(format, value)
				asserter.NotContains(t, got, key)
				asserter.NotContains(t, got, fmt.Sprintf("%x", key))
			}
		})
	}
	t.Run("a credential is redacted in JSON", func(t *testing.T) {
		for _, value := range []any{credential, &request, map[string]any{"c": credential}} {
			got, err := json.Marshal(value)
			asserter.NoError(t, err)
			asserter.NotContains(t, string(got), key)
		}
	})
	t.Run("an empty key is none", func(t *testing.T) {
		_, ok := buckthorndyke.NewCredential("").WithFields(http.Header{}).Digest()
		asserter.True(t, !ok, "an empty key counts as one")
	})
	t.Run("the header fields are forwarded only if there are no callers", func(t *testing.T) {
		r := buckthorndyke.RelayRequest{Credential: credential, Header: http.Header{"A": {"1"}}}
		asserter.Equal(t, r.WithCredentialForwarded().Header, http.Header{"A": {"1"}, "F": {key}})
		asserter.Equal(t, r.WithCaller("c").Header, http.Header{"A": {"1"}})
		asserter.Equal(t, r.Header, http.Header{"A": {"1"}})
		_, known := r.WithCaller("c").Credential.Digest()
		asserter.True(t, !known, "the credential is kept after the caller is known")
	})
}
