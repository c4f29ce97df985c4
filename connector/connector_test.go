package connector

import (
	"net/http"
	"testing"

	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestNewHTTPClient(t *testing.T) {
	t.Run("no proxy from the environment", func(t *testing.T) {
		transport, ok := newHTTPClient(newOptions(nil), true).Transport.(*http.Transport)
		asserter.True(t, ok, "the client has another transport")
		asserter.True(t, transport.Proxy == nil, "the transport has a proxy")
	})
}
