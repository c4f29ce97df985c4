package connector

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
)

// maxEventBytes bounds the data of one server-sent event.
const maxEventBytes = 1 << 20

// errEventTooLarge is the error of an event beyond maxEventBytes.
var errEventTooLarge = fmt.Errorf("an event exceeds %d bytes", maxEventBytes)

// eventReader reads server-sent events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r *bufio.Reader) *eventReader {
	return &eventReader{r: r}
}

// next returns the data of the next event that has any. An event that is not
// ended by an empty line is not returned.
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

// line returns the next line without its end.
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
