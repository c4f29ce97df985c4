package dispatcher

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/gatherer"
)

const (
	// maxDeclaredBytes bounds a response that declares its length.
	maxDeclaredBytes = 64 << 20
	// maxResponseBytes bounds a response that does not declare its length, and what is held
	// of one that does, until it is complete. Neither bound applies to streams.
	maxResponseBytes = 4 << 20
	// passBytes is the size of one read from a response that is passed on as it arrives.
	passBytes = 16 << 10
)

// errResponseTooLarge means that a response exceeds the bound on its size.
var errResponseTooLarge = errors.New("the response exceeds the size limit")

// copyResponse passes on a response that is not a stream. It holds the response until it is
// complete, so that another server can be asked if it is truncated. If it is too large for
// that, or too little memory is free, the client gets it as it arrives.
func (j *job) copyResponse(ctx context.Context, backend buckthorndyke.Backend, a buckthorndyke.DispatchResponse) (bool, error) {
	if a.Length > maxDeclaredBytes {
		return j.handleFailure(ctx, backend, errResponseTooLarge)
	}
	held := gatherer.New(j.memory)
	defer held.Close()
	err := held.ReadAll(ctx, a.Body, maxResponseBytes)
	tooLarge := errors.Is(err, gatherer.ErrTooLarge)
	switch {
	case err == nil:
		j.noteServed(ctx, backend, a)
		return false, j.answer.writeWhole(a.Status, a.Header, held.Bytes())
	case tooLarge && a.Length < 0:
		return j.handleFailure(ctx, backend, errResponseTooLarge)
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTimeout):
		// The client has disconnected or the VM is stopping. A server whose response is not
		// complete at the deadline has failed.
		return j.handleFailure(ctx, backend, context.Cause(ctx))
	case !tooLarge && !errors.Is(err, buckthorndyke.ErrMemory):
		return j.handleFailure(ctx, backend, errors.Wrap(err, "read the response"))
	}
	w := &pacedResponse{clock: j.clock, reader: a.Body, writer: j.answer.w}
	a.Body, j.answer.w = io.NopCloser(w), w
	err = j.passOn(a, held)
	j.answer.w = w.writer
	switch {
	case err == nil:
		j.noteServed(ctx, backend, a)
		return false, nil
	case errors.Is(err, errClientGone):
		j.releaseServer(ctx, backend, resultNeutral)
		return false, errClientGone
	case ctx.Err() != nil:
		err = context.Cause(ctx)
	case w.cutUnread():
		err = errors.Mark(err, errUnread)
	}
	// The client has a part of this response. No other one can follow.
	_, err = j.handleFailure(ctx, backend, err)
	return false, err
}

// passOn writes what is held of a response to the client, releases its memory, and writes
// the rest as it arrives.
func (j *job) passOn(a buckthorndyke.DispatchResponse, held *gatherer.Gatherer) error {
	size := int64(len(held.Bytes()))
	err := j.answer.beginWhole(a.Status, a.Header, a.Length)
	if err == nil {
		err = j.answer.writePart(held.Bytes())
	}
	held.Close()
	for buffer := make([]byte, passBytes); err == nil; {
		n, failed := a.Body.Read(buffer)
		if n > 0 {
			err = j.answer.writePart(buffer[:n])
		}
		size += int64(n)
		switch {
		case err != nil:
		case errors.Is(failed, io.EOF):
			return nil
		case failed != nil:
			return errors.Wrap(failed, "read the response")
		case a.Length < 0 && size > maxResponseBytes:
			return errResponseTooLarge
		}
	}
	return err
}

// noteServed notes that the server has sent a complete response.
func (j *job) noteServed(ctx context.Context, backend buckthorndyke.Backend, a buckthorndyke.DispatchResponse) {
	j.noteAttempt(backend, "status %d", a.Status)
	j.executions++
	j.begun = a.Signed && resultOf(a.Status) == resultServed
	j.releaseServer(ctx, backend, resultOf(a.Status))
}
