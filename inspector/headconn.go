package inspector

import (
	"net"

	"github.com/cockroachdb/errors"
)

// errHeadTooLong means that a head has not ended within the limit.
var errHeadTooLong = errors.New("the head of the response exceeds the size limit")

// HeadConn is a connection for one request. It passes on the heads of the response, and of interim
// ones before it, once they have been checked, and then all that follows. Only the goroutine that
// reads uses its fields.
type HeadConn struct {
	net.Conn
	// checked is set once the head of the response has been checked.
	checked bool
	// err is the error that has ended the heads.
	err error
	// limit bounds a head, in bytes.
	limit int
	// pending holds bytes that have been read and not been passed on. Those before passable
	// may be passed on.
	pending  []byte
	passable int
}

// NewHeadConn returns a connection that refuses heads of more than limit bytes.
func NewHeadConn(conn net.Conn, limit int) *HeadConn { return &HeadConn{Conn: conn, limit: limit} }

// Read implements net.Conn.
func (c *HeadConn) Read(p []byte) (int, error) {
	for c.passable == 0 && !c.checked && c.err == nil {
		c.readHead(len(p))
	}
	switch {
	case c.passable > 0:
		n := copy(p, c.pending[:c.passable])
		c.pending, c.passable = c.pending[n:], c.passable-n
		return n, nil
	case c.err != nil:
		return 0, c.err
	default:
		return c.Conn.Read(p)
	}
}

// readHead reads at most size bytes, and checks the head of the next response once it is
// complete.
func (c *HeadConn) readHead(size int) {
	if BlockEnd(c.pending) == 0 {
		buffer := make([]byte, max(size, 1))
		n, err := c.Conn.Read(buffer)
		c.pending, c.err = append(c.pending, buffer[:n]...), err
	}
	end := BlockEnd(c.pending)
	switch {
	case end == 0 && len(c.pending) > c.limit:
		c.err = errHeadTooLong
	case end > 0:
		head := c.pending[:end]
		if err := CheckHead(head); err != nil {
			c.err = err
			return
		}
		c.passable, c.checked = end, !isInterim(head)
		if c.checked {
			c.passable = len(c.pending)
		}
	}
}

// isInterim reports whether a valid head is that of an interim response.
func isInterim(head []byte) bool { return head[len(versionPrefix)+2] == '1' }
