package connector

import (
	"bufio"
	"errors"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestEventReader(t *testing.T) {
	for name, text := range map[string]string{
		"one line":   "data: " + strings.Repeat("x", maxEventBytes) + "\n\n",
		"many lines": strings.Repeat("data: x\n", maxEventBytes) + "\n",
	} {
		t.Run("an event of "+name+" that exceeds the limit is an error", func(t *testing.T) {
			_, err := newEventReader(bufio.NewReader(strings.NewReader(text))).next()
			asserter.True(t, errors.Is(err, errEventTooLarge), "the error is not errEventTooLarge")
		})
	}
	t.Run("data lines are joined", func(t *testing.T) {
		data, err := newEventReader(bufio.NewReader(strings.NewReader("data: a\ndata:b\n\n"))).next()
		asserter.NoError(t, err)
		asserter.Equal(t, string(data), "a\nb")
	})
}
