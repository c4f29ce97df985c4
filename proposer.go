package buckthorndyke

import "context"

// Proposer appends proposals to the control stream.
type Proposer interface {
	// Propose appends c and waits for its result. It appends the same proposal again
	// if it gets no response. After an error with the verdict MayHaveRun the proposal
	// may have been accepted; NotRun means that nothing was appended.
	Propose(ctx context.Context, c Change) (ProposalResult, error)
}

// Follower publishes the state that results from the control stream.
type Follower interface {
	// Subscribe returns a channel that holds the newest state until the subscriber
	// receives it. Older states are dropped. The subscription ends with ctx.
	Subscribe(ctx context.Context) <-chan StateUpdate
}

// StateUpdate is a state with information on how current it is.
type StateUpdate struct {
	// CaughtUp is set once the state includes all records that the log or the peers
	// had at startup.
	CaughtUp bool
	// FreshAsOf is the instant just before the last read that reached the tail of the
	// log was sent. Leases are counted from it.
	FreshAsOf Millis
	// LogDown is set while the log does not respond.
	LogDown bool
	State   State
}
