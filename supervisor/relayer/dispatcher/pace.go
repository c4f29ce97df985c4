package dispatcher

import (
	"io"
	"net/http"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/attributor"
)

// errUnread means that a server has cut a response which the client did not read.
var errUnread = buckthorndyke.NewRefusal(buckthorndyke.CodeServiceUnavailable, buckthorndyke.MayHaveRun,
	"the server cut the response because it was not read")

// pacedResponse reads a response from a server and writes it to the client, and measures how
// far the client delays the reading. It implements io.Reader and buckthorndyke.RelayWriter.
type pacedResponse struct {
	clock buckthorndyke.Clock
	// ended is set once the server's response has ended or was cut.
	ended  bool
	pace   attributor.Pace
	reader io.Reader
	writer buckthorndyke.RelayWriter
}

// Begin implements buckthorndyke.RelayWriter.
func (p *pacedResponse) Begin(status int, header http.Header) error {
	return p.writer.Begin(status, header)
}

// cutUnread reports whether a response that is not complete was cut because it was not read.
func (p *pacedResponse) cutUnread() bool { return p.ended && p.pace.Unread() }

// Read implements io.Reader.
func (p *pacedResponse) Read(part []byte) (int, error) {
	began := p.clock.Now()
	n, err := p.reader.Read(part)
	p.pace, p.ended = p.pace.WithRead(p.clock.Now()-began), err != nil
	return n, err
}

// Write implements buckthorndyke.RelayWriter.
func (p *pacedResponse) Write(part []byte) error {
	began := p.clock.Now()
	err := p.writer.Write(part)
	p.pace = p.pace.WithWrite(p.clock.Now() - began)
	return err
}
