package standin

import (
	"context"
	"io"

	"github.com/buckthorndyke/buckthorndyke"
)

// streamItem is a token, or the error that ends the stream.
type streamItem struct {
	err   error
	job   buckthorndyke.JobID
	token buckthorndyke.Token
}

// memoryStream is the response of a MemoryEngine to one job. It must not be read
// concurrently.
type memoryStream struct {
	cancel context.CancelCauseFunc
	err    error
	items  chan streamItem
}

// Close implements buckthorndyke.TokenStream. It cancels the job.
func (s *memoryStream) Close() error {
	s.cancel(errCancelled)
	return nil
}

// Next implements buckthorndyke.TokenStream. After the last token it returns
// io.EOF.
func (s *memoryStream) Next(ctx context.Context) (buckthorndyke.Token, error) {
	item, err := s.next(ctx)
	return item.token, err
}

// NextWithJob returns the next token and the job that it belongs to, so that a
// reader can detect a foreign token by its job ID, as a client on the wire does.
func (s *memoryStream) NextWithJob(ctx context.Context) (buckthorndyke.JobID, buckthorndyke.Token, error) {
	item, err := s.next(ctx)
	return item.job, item.token, err
}

// next returns the next item. Once the stream has ended it returns the same error
// again.
func (s *memoryStream) next(ctx context.Context) (streamItem, error) {
	if s.err != nil {
		return streamItem{}, s.err
	}
	select {
	case item, ok := <-s.items:
		if !ok {
			s.err = io.EOF
			return streamItem{}, io.EOF
		}
		s.err = item.err
		return item, item.err
	case <-ctx.Done():
		return streamItem{}, contextError(ctx, buckthorndyke.MayHaveRun)
	}
}
