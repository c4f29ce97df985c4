package connector_test

import (
	"io"
	"net"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/connector"
)

const (
	// uploadBytes is the size of a call that is still being sent when its response ends.
	uploadBytes = 6 << 20
	// resets is the number of responses that are reset: not each passes for a complete one.
	resets = 50
)

// callRaw calls a server of a plain service that reads the head of a request, sends answer and
// passes the connection to end.
func callRaw(t *testing.T, size int, answer string, end func(conn *net.TCPConn)) (buckthorndyke.ServiceResponse, error) {
	t.Helper()
	address, _ := serveRaw(t, func(conn net.Conn) bool {
		read := readRequest(conn)
		_, _ = io.WriteString(conn, answer)
		end(conn.(*net.TCPConn))
		return read
	})
	call := booking()
	call.Body = make([]byte, size)
	return connector.NewHTTPService().Call(t.Context(), address, call)
}

// TestResetInUpload guards against responses without a length that passed as complete although
// their connection was reset.
func TestResetInUpload(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\n\r\nbooked"
	t.Run("a response whose connection is reset while its call is sent is not complete", func(t *testing.T) {
		complete := 0
		for range resets {
			_, err := callRaw(t, uploadBytes, answer, func(conn *net.TCPConn) { _ = conn.SetLinger(0) })
			if err == nil {
				complete++
				continue
			}
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
		}
		asserter.Equal(t, complete, 0)
	})
	t.Run("a response that ends before its call has been read is complete", func(t *testing.T) {
		for range resets {
			response, err := callRaw(t, uploadBytes, answer, func(conn *net.TCPConn) {
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, conn)
			})
			asserter.NoError(t, err)
			asserter.Equal(t, string(response.Body), "booked")
		}
	})
}
