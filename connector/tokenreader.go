package connector

import (
	"bufio"
	"fmt"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// tokenReader reads the tokens of one job. It fails if a token is repeated, out of
// sequence or of another job.
type tokenReader struct {
	events *eventReader
	// index is the expected index of the next token.
	index int
	job   buckthorndyke.JobID
}

// newTokenReader returns a reader of the response to job, whose first token follows
// those that job resumes after.
func newTokenReader(r *bufio.Reader, job buckthorndyke.Job) *tokenReader {
	return &tokenReader{events: newEventReader(r), index: len(job.Resume), job: job.ID}
}

// next returns the next token. It must not be called again after the end marker or
// an error.
func (r *tokenReader) next() (buckthorndyke.Token, error) {
	data, err := r.events.next()
	if err != nil {
		return buckthorndyke.Token{}, brokenStream("the stream ended before its end marker: " + err.Error())
	}
	var w wire.EngineToken
	if err := encoder.DecodeJSON(data, &w); err != nil {
		return buckthorndyke.Token{}, brokenStream("the stream has an event that is not a token")
	}
	if buckthorndyke.JobID(w.Job) != r.job {
		return buckthorndyke.Token{}, brokenStream("the stream has a token of another job")
	}
	if int(w.Index) != r.index {
		return buckthorndyke.Token{}, brokenStream(
			fmt.Sprintf("the stream has token %d instead of token %d", w.Index, r.index))
	}
	r.index++
	return buckthorndyke.Token{Index: int(w.Index), Last: w.Last, Text: w.Text}, nil
}

// brokenStream returns the error of a stream that ended before its end marker.
func brokenStream(message string) error {
	return buckthorndyke.NewRefusal(buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun, message)
}
