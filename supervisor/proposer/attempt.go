package proposer

import (
	"context"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
)

// attempt is the state of one call of Propose.
type attempt struct {
	appends chan appendResult
	backoff buckthorndyke.Millis
	data    []byte
	id      buckthorndyke.ProposalID
	// offset is the offset of the appended record, or NoOffset while it is not known.
	offset   buckthorndyke.Offset
	proposer *Proposer
	updates  <-chan buckthorndyke.StateUpdate
	// verdict is NotRun until the record may have been appended.
	verdict buckthorndyke.Verdict
}

type appendResult struct {
	err    error
	offset buckthorndyke.Offset
}

// run tries to append the record until its offset is known, and waits for the result of
// the proposal.
func (a *attempt) run(ctx context.Context) (buckthorndyke.ProposalResult, error) {
	var retry <-chan time.Time
	pending := true
	a.append(ctx)
	for {
		select {
		case <-ctx.Done():
			return a.stop(pending)
		case r := <-a.appends:
			pending = false
			a.handleAppend(r)
			if r.err != nil {
				retry = a.retryTimer()
			}
		case <-retry:
			retry, pending = nil, true
			a.append(ctx)
		case u := <-a.updates:
			if result, ok := u.State.ProposalResults.Get(a.id); ok {
				return result, nil
			}
			if a.offset != buckthorndyke.NoOffset && u.State.Offset >= a.offset {
				return buckthorndyke.ProposalResult{}, noResultError(buckthorndyke.MayHaveRun)
			}
		}
	}
}

// append starts one append of the record, without waiting for the reply.
func (a *attempt) append(ctx context.Context) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, a.proposer.appendTimeout.Duration())
		defer cancel()
		offset, err := a.proposer.log.Append(ctx, buckthorndyke.ControlStream, a.data)
		a.appends <- appendResult{err: err, offset: offset}
	}()
}

// handleAppend processes the result of an append.
func (a *attempt) handleAppend(r appendResult) {
	if r.err == nil {
		a.offset = r.offset
	}
	if buckthorndyke.VerdictOf(r.err) != buckthorndyke.NotRun {
		a.verdict = buckthorndyke.MayHaveRun
	}
}

// retryTimer returns a channel that receives when the backoff is over, and increases the
// backoff.
func (a *attempt) retryTimer() <-chan time.Time {
	d := a.backoff
	a.backoff = min(a.backoff*backoffFactor, maxBackoff)
	return a.proposer.clock.After(d)
}

// stop returns the error after the context has ended. If an append is pending that does
// not return within cancelGrace, it may have taken effect.
func (a *attempt) stop(pending bool) (buckthorndyke.ProposalResult, error) {
	if pending {
		select {
		case r := <-a.appends:
			a.handleAppend(r)
		case <-a.proposer.clock.After(cancelGrace):
			a.verdict = buckthorndyke.MayHaveRun
		}
	}
	return buckthorndyke.ProposalResult{}, noResultError(a.verdict)
}
