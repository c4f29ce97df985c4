package inspector_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/inspector"
)

// TestStatusLine guards against first lines that net/http reads as those of a response although
// they are none.
func TestStatusLine(t *testing.T) {
	for _, line := range []string{
		"", "x", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 2", "HTTP/1.1 20", "HTTP/1.1 2000", "HTTP/1.1 000", "HTTP/1.1 099 x", "HTTP/1.1 +20 OK",
		"HTTP/1.1 -00 x", "HTTP/1.1 2x0 OK", "HTTP/1.1 101 x", "HTTP/1.1 600 x", "HTTP/1.1  200 OK", " HTTP/1.1 200 OK", "HTTP/1.1\t200 OK",
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.10 200 OK", "HTTP/1. 200 OK", "http/1.1 200 OK", "HTTP/1.1 200 \x00", "HTTP/1.1 200 a\rb", "HTTP/1.1 200 a\x7f",
	} {
		t.Run("a head does not begin with "+line, func(t *testing.T) {
			asserter.Error(t, inspector.CheckHead([]byte(line+"\r\n\r\n")))
		})
	}
	for _, line := range []string{
		"HTTP/1.1 200 OK", "HTTP/1.0 404 Not Found", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 103 Early Hints", "HTTP/1.1 599 x", "HTTP/1.2 500 a\tb \xff",
	} {
		t.Run("a head begins with "+line, func(t *testing.T) {
			asserter.NoError(t, inspector.CheckHead([]byte(line+"\r\n\r\n")))
			asserter.NoError(t, inspector.CheckHead([]byte(line+"\n\n")))
		})
	}
}
