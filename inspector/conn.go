package inspector

import (
	"io"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a socket whose peer has ended its sending direction
// (net/tcp_states.h).
const tcpCloseWait = 8

// errNoSocket means that a connection is not a socket.
var errNoSocket = errors.New("the connection is not a socket")

// Conn is a connection whose reads return io.EOF only if its peer has ended it. A socket reports
// its error, such as a reset, only once: if a write gets it, a read of the socket returns the end
// of the data.
type Conn struct {
	net.Conn
	// failure holds the error of a write, if one has failed.
	failure chan error
	// writing holds a value while a write is in progress.
	writing chan struct{}
}

// NewConn returns a connection that reads from and writes to conn.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, failure: make(chan error, 1), writing: make(chan struct{}, 1)}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && errors.Is(err, io.EOF) {
		err = c.checkEnd()
	}
	return n, err
}

// Reset closes the connection with a reset, if it is a TCP connection. What has not been delivered
// is dropped: a plain close goes on delivering it, and the peer sees the end only behind it.
func (c *Conn) Reset() error {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	return c.Close()
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return conn.SyscallConn()
}

// TCPInfo returns the state of the socket. It is 0 if the machine does not tell it.
func (c *Conn) TCPInfo() (*unix.TCPInfo, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "use the socket")
	}
	var info *unix.TCPInfo
	var failed error
	err = raw.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, errors.CombineErrors(err, failed)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if err != nil {
		select {
		case c.failure <- err:
		default:
		}
	}
	return n, err
}

// checkEnd returns the error that a read of the end of the data stands for.
func (c *Conn) checkEnd() error {
	if info, err := c.TCPInfo(); err == nil && info.State == tcpCloseWait {
		return io.EOF
	}
	// A write in progress fails at once, or when it is given up.
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	select {
	case err := <-c.failure:
		c.failure <- err
		// After the peer's end, its reset is reported as a broken pipe.
		if !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "the connection has failed")
		}
	default:
	}
	return io.EOF
}
