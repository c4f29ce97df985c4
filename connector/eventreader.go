package connector

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
)

// maxEventBytes is the size limit of one server-sent event.
const maxEventBytes = 1 << 20

var errEventTooLarge = fmt.Errorf("server-sent event exceeds %d bytes", maxEventBytes)

// eventReader reads the data of server-sent events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r *bufio.Reader) *eventReader {
	return &eventReader{r: r}
}

// next returns the data of the next event that has any. It does not return an event
// without the empty line that ends it.
func (e *eventReader) next() ([]byte, error) {
	var data []byte
	found := false
	for {
		line, err := e.line()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if found {
				return data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if found {
			data = append(data, '\n')
		}
		found = true
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(data) > maxEventBytes {
			return nil, errEventTooLarge
		}
	}
}

// line returns the next line without its line break.
func (e *eventReader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := e.r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
	}
}
