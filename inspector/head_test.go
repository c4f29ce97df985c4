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

// TestFields guards against lines that net/http reads as fields, or as parts of others, although
// they are none.
func TestFields(t *testing.T) {
	const first, last = "HTTP/1.1 200 OK\r\nA: b\r\n", "\r\n\r\n"
	for _, line := range []string{
		"X", ":", " : a", "X : a", "X\t: a", " X: a", "\tX: a", " ", "X Y: a", "X\x00: a", "X\x7f: a", "X\xff: a", "X: \x00", "X: a\rb", "X: a\r\n b", "\r",
	} {
		t.Run("the line "+line+" is no field", func(t *testing.T) {
			asserter.Error(t, inspector.CheckHead([]byte(first+line+last)))
			asserter.Error(t, inspector.CheckTrailer([]byte("A: b\r\n"+line+last)))
		})
	}
	for _, line := range []string{"X:", "X: a", "X:\ta \t", "x-y_z~!: \xff", "X: a: b", "Content-Length: 0", "Transfer-Encoding: chunked"} {
		t.Run("the line "+line+" is a field", func(t *testing.T) {
			asserter.NoError(t, inspector.CheckHead([]byte(first+line+last)))
			asserter.NoError(t, inspector.CheckTrailer([]byte("A: b\r\n"+line+last)))
		})
	}
	for name, head := range map[string]string{
		"a coding in the old version":          "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked",
		"a coding of an interim response":      "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked",
		"a length of an interim response":      "HTTP/1.1 103 Early Hints\r\nContent-Length: 1",
		"a second length after an empty body":  "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\ncontent-length: 2",
		"a length of an interim one, unsigned": "HTTP/1.1 100 Continue\r\nContent-Length: x",
	} {
		t.Run(name+" is refused", func(t *testing.T) { asserter.Error(t, inspector.CheckHead([]byte(head+last))) })
	}
	t.Run("the lines of a head end alike", func(t *testing.T) {
		for _, head := range []string{
			first + "\nX: a" + last, "HTTP/1.1 200 OK\nA: b\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\n",
		} {
			asserter.Error(t, inspector.CheckHead([]byte(head[:inspector.BlockEnd([]byte(head))])))
		}
		asserter.NoError(t, inspector.CheckHead([]byte("HTTP/1.1 200 OK\nA: b\n\n")))
	})
	t.Run("a trailer has whole ends of lines", func(t *testing.T) {
		asserter.NoError(t, inspector.CheckTrailer([]byte("\r\n")))
		asserter.Error(t, inspector.CheckTrailer([]byte("\n")))
		asserter.Error(t, inspector.CheckTrailer([]byte("X: a\n\r\n")))
	})
}
