package connector_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/connector"
)

// keep leaves the end of the connection to serveRaw.
func keep(*net.TCPConn) {}

// TestForeignBytes guards against bytes of a server in trouble that passed as a response.
func TestForeignBytes(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const sound = ok + "Content-Length: 6\r\n\r\nbooked"
	for name, answer := range map[string]string{
		"the status 000":                          "HTTP/1.1 000 Unknown\r\nContent-Length: 6\r\n\r\nbooked",
		"the status 000 and a refusal":            "HTTP/1.1 000 Unknown\r\nX-Verdict: not-run\r\nContent-Length: 6\r\n\r\nbooked",
		"the status +20":                          "HTTP/1.1 +20 OK\r\nContent-Length: 6\r\n\r\nbooked",
		"the status 101":                          "HTTP/1.1 101 Switching Protocols\r\n\r\nbooked",
		"the status 700":                          "HTTP/1.1 700 Unknown\r\nContent-Length: 6\r\n\r\nbooked",
		"a hidden length":                         ok + "Content-Length : 6\r\n\r\nbooked, more",
		"a hidden length in a continued line":     ok + "X: a\r\n Content-Length: 6\r\n\r\nbooked, more",
		"hidden chunks":                           ok + "Transfer-Encoding : chunked\r\n\r\n6\r\nbooked\r\n0\r\n\r\n",
		"chunks in the old version":               "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n0\r\n\r\n",
		"a name with a blank":                     ok + "X Y: a\r\nContent-Length: 6\r\n\r\nbooked",
		"an interim head with a blank in a name":  "HTTP/1.1 103 Early Hints\r\nX : a\r\n\r\n" + sound,
		"an interim head with a continued line":   "HTTP/1.1 103 Early Hints\r\nX: a\r\n b\r\n\r\n" + sound,
		"an interim response with a body":         "HTTP/1.1 103 Early Hints\r\nContent-Length: 7\r\n\r\n" + sound,
		"a head with a blank after an interim":    "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "X : a\r\nContent-Length: 6\r\n\r\nbooked",
		"a trailer with a blank in a name":        ok + "Transfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n0\r\nX : a\r\n\r\n",
		"a long head with a blank in a last name": ok + "X: " + strings.Repeat("x", 20_000) + "\r\nY : a\r\nContent-Length: 6\r\n\r\nbooked",
		"a head without end":                      ok + "X: " + strings.Repeat("x", 200_000),
		"half a head":                             ok + "Content-Length: 0\r\n",
	} {
		t.Run("a call gets no response because of "+name, func(t *testing.T) {
			response, err := callRaw(t, 0, answer, keep)
			if err == nil {
				t.Errorf("%.200q passes as a response with status %d, header %q and body %q", answer, response.Status, response.Header, response.Body)
				return
			}
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
		})
	}
	for name, answer := range map[string]string{
		"one with a length":      sound,
		"one in chunks":          ok + "Transfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n0\r\nX: a\r\n\r\n",
		"one without a length":   ok + "\r\nbooked",
		"one after interim ones": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: a\r\n\r\n" + sound,
		"one with a long head":   ok + "X: " + strings.Repeat("x", 20_000) + "\r\nContent-Length: 6\r\n\r\nbooked",
	} {
		t.Run(name+" passes", func(t *testing.T) {
			response, err := callRaw(t, 0, answer, keep)
			asserter.NoError(t, err)
			asserter.Equal(t, response.Status, http.StatusOK)
			asserter.Equal(t, string(response.Body), "booked")
		})
	}
	t.Run("other clients get no response because of", func(t *testing.T) {
		for name, answer := range map[string]string{
			"the status 000":                   "HTTP/1.1 000 Unknown\r\nContent-Length: 2\r\n\r\n{}",
			"a name with a blank":              ok + "X : a\r\nContent-Length: 2\r\n\r\n{}",
			"a trailer with a blank in a name": ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX : a\r\n\r\n",
		} {
			t.Run(name, func(t *testing.T) {
				address, _ := serveRaw(t, func(conn net.Conn) bool {
					read := readRequest(conn)
					_, _ = io.WriteString(conn, answer)
					return read
				})
				_, err := connector.NewHTTPEngine(address).Status(t.Context())
				asserter.Error(t, err)
				_, err = connector.NewHTTPEngine(address).Order(t.Context(), loadOrder(1))
				asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			})
		}
	})
}
