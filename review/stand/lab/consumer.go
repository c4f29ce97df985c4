package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is a consumer's request.
type Request struct {
	Body     []byte
	Deadline time.Duration
	Host     string
	ID       string
	Method   string
	Model    string
	// Rate is the number of bytes of the body that are sent in a second, or 0.
	Rate   float64
	Target string
}

// Answer is what a consumer got.
type Answer struct {
	Body []byte
	// Err is set if the channel ended without a complete answer, or at the deadline.
	Err    error
	Seal   string
	Status int
	Took   time.Duration
}

// String describes the answer.
func (a Answer) String() string {
	text := fmt.Sprintf("status %d, seal %q, %d bytes after %d ms", a.Status, a.Seal, len(a.Body), a.Took.Milliseconds())
	if a.Err != nil {
		text += ", not complete: " + a.Err.Error()
	}
	return text
}

// Channel is a consumer's channel.
type Channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Open opens a channel to a VM.
func Open(v *VM) (*Channel, error) {
	conn, err := net.DialTimeout("tcp", v.Clients, time.Second)
	if err != nil {
		return nil, err
	}
	return &Channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the channel.
func (c *Channel) Close() { _ = c.conn.Close() }

// Send sends a request and waits for the answer until the request's deadline and half a
// second more.
func (c *Channel) Send(q Request) Answer {
	began := time.Now()
	_ = c.conn.SetDeadline(began.Add(q.Deadline + 500*time.Millisecond))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n",
		q.Method, q.Target, q.Host, q.ID, q.Deadline.Milliseconds())
	if q.Model != "" {
		head += "Model: " + q.Model + "\r\nToken-Count: 100,60\r\nPrompt-Prefix: 5c1e07a2:80," + q.ID + ":20\r\n"
	}
	if q.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"); err != nil {
		return Answer{Err: err, Took: time.Since(began)}
	}
	if err := c.sendBody(q); err != nil {
		return Answer{Err: err, Took: time.Since(began)}
	}
	w, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method})
	if err != nil {
		return Answer{Err: err, Took: time.Since(began)}
	}
	body, err := io.ReadAll(w.Body)
	return Answer{Body: body, Err: err, Seal: w.Header.Get("Server-Seal"), Status: w.StatusCode, Took: time.Since(began)}
}

func (c *Channel) sendBody(q Request) error {
	const part = 64 << 10
	began := time.Now()
	for sent := 0; sent < len(q.Body); {
		n := min(part, len(q.Body)-sent)
		if _, err := c.conn.Write(q.Body[sent : sent+n]); err != nil {
			return err
		}
		sent += n
		if q.Rate > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / q.Rate * float64(time.Second)))))
		}
	}
	return nil
}
