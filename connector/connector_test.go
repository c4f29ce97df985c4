package connector

import (
	"net/http"
	"testing"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/inspector"
)

func TestNewHTTPClient(t *testing.T) {
	t.Run("proxy settings of the environment are ignored", func(t *testing.T) {
		checked, ok := newHTTPClient(newOptions(nil), true).Transport.(*inspector.Transport)
		asserter.True(t, ok, "the transport does not check responses")
		transport, ok := checked.RoundTripper.(*http.Transport)
		asserter.True(t, ok, "the transport is not an http.Transport")
		asserter.True(t, transport.Proxy == nil, "the transport has a proxy")
	})
}
