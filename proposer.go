package buckthorndyke

import "context"

// Proposer appends proposals to the control stream.
type Proposer interface {
	// Propose appends c and waits for its ruling. It appends the same proposal
	// again if an answer is lost. An error with the verdict MayHaveRun leaves the
	// outcome open; one with NotRun means that nothing was appended.
	Propose(ctx context.Context, c Change) (ProposalResult, error)
}

// Follower publishes the state that the control stream makes.
type Follower interface {
	// Subscribe returns a channel that always holds the newest state that the
	// subscriber has not received yet. Older ones are skipped. The subscription
	// ends with ctx.
	Subscribe(ctx context.Context) <-chan StateUpdate
}

// StateUpdate is a state with what is known of its age.
type StateUpdate struct {
	// CaughtUp is set once the state has held all records that the log or the peers
	// knew of at start-up.
	CaughtUp bool
	// FreshAsOf is the instant before the read that last reached the log's tail was
	// sent. A lease is counted from it.
	FreshAsOf Millis
	// LogDown is set while the log does not answer.
	LogDown bool
	State   State
}
