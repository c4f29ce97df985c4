package connector

import (
	"net/http"
	"testing"

	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestNewHTTPClient(t *testing.T) {
	t.Run("proxy settings of the environment are ignored", func(t *testing.T) {
		transport, ok := newHTTPClient(newOptions(nil), true).Transport.(*http.Transport)
		asserter.True(t, ok, "the transport is not an http.Transport")
		asserter.True(t, transport.Proxy == nil, "the transport has a proxy")
	})
}
