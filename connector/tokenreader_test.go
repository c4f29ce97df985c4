package connector

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
)

func FuzzTokenReader(f *testing.F) {
	for _, seed := range []string{
		"",
		"data: {\"job\":\"j\",\"index\":2,\"text\":\"a\"}\n\ndata: {\"job\":\"j\",\"index\":3,\"last\":true}\n\n",
		"data: {\"job\":\"j\",\"index\":2}\n\ndata: {\"job\":\"j\",\"index\":2}\n\n",
		"data: {\"job\":\"i\",\"index\":2}\n\n",
		"data: {\"job\":\"j\",\ndata: \"index\":2}\r\n\r\n",
		": comment\n\nevent: x\nid: 1\n\ndata\n\ndata:\n\n",
		"data: {\"job\":\"j\",\"index\":-1}\n\n",
		"data: {\"job\":\"j\",\"index\":2,\"text\":\"\\ud800\"}\n\n",
		"\n\n\r\r\n",
	} {
		f.Add([]byte(seed))
	}
	job := buckthorndyke.Job{ID: "j", Resume: []string{"a", "b"}}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newTokenReader(bufio.NewReader(bytes.NewReader(data)), job)
		for want := len(job.Resume); ; want++ {
			token, err := r.next()
			if err != nil {
				assertBroken(t, err)
				return
			}
			assertIndex(t, token, want)
			if token.Last {
				return
			}
		}
	})
}

func assertBroken(t *testing.T, err error) {
	t.Helper()
	if buckthorndyke.VerdictOf(err) != buckthorndyke.MayHaveRun {
		t.Errorf("got verdict %s of %v", buckthorndyke.VerdictOf(err), err)
	}
}

func assertIndex(t *testing.T, token buckthorndyke.Token, want int) {
	t.Helper()
	if token.Index != want {
		t.Errorf("got index %d, want %d", token.Index, want)
	}
}
