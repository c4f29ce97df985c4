package buckthorndyke

// TicketID numbers the tickets of one steward, in the order of their arrival.
type TicketID uint64

// Waiter is a request as admission sees it.
type Waiter struct {
	Arrived Millis
	Caller  CallerID
	// Due is the instant at which the first token is due.
	Due   Millis
	ID    TicketID
	Model ModelID
	Rank  Rank
	// Suspect is set if the request may crash the runner. It runs only alone.
	Suspect bool
}

// AdmissionView is what admission needs to know of the runner. It is made anew
// for each decision.
type AdmissionView struct {
	// Loaded reports whether a model can start work.
	Loaded func(ModelID) bool
	// LoadWait predicts the time until a model that is not loaded can start work.
	LoadWait func(ModelID) Millis
	Now      Millis
	// PreemptFree reports whether free work on a model has to make room for paid
	// work that waits for a load.
	PreemptFree func(ModelID) bool
	// PreviousOwnerSlots is the number of slots that jobs of a previous owner take.
	PreviousOwnerSlots int
	Rules              Rules
	Slots              int
	// StartsPaused reports whether no more work is to start on a model.
	StartsPaused func(ModelID) bool
}

// AdmissionDecision is what a steward has to do next, in the order of the
// fields.
type AdmissionDecision struct {
	// Expired are waiting requests whose deadline is about to pass.
	Expired []Waiter
	// Granted are waiting requests that start now.
	Granted []Waiter
	// Revoked are running requests that have to make room.
	Revoked []Waiter
}

// ModelDemand is the waiting work of one model.
type ModelDemand struct {
	// Arrived is the arrival of the oldest waiter of Rank.
	Arrived Millis
	Model   ModelID
	// Rank is the most urgent rank that waits.
	Rank    Rank
	Waiting int
}

// AdmissionPolicy decides which requests of one runner start, wait or are
// refused. It is immutable: each method returns the next value.
type AdmissionPolicy interface {
	// Decide returns what has to be done now.
	Decide(view AdmissionView) (AdmissionPolicy, AdmissionDecision)
	// Demand returns the models that requests wait for, in the order in which
	// they should be loaded.
	Demand() []ModelDemand
	// Enqueue queues w, or returns a *RefusalError with the verdict NotRun.
	Enqueue(view AdmissionView, w Waiter) (AdmissionPolicy, error)
	// InFlight returns the number of running requests of a model.
	InFlight(model ModelID) int
	// NextExpiry returns the instant at which Decide expires the next request, and
	// whether one waits.
	NextExpiry() (Millis, bool)
	// Running returns the requests that run, in the order of their arrival.
	Running() []Waiter
	// Waiting returns the requests that wait, in the order of their arrival.
	Waiting() []Waiter
	// WaitingByRank returns the number of waiting requests of each rank.
	WaitingByRank() [RankCount]int
	// Without removes a request that has ended, whether it waited or ran.
	Without(id TicketID, now Millis) AdmissionPolicy
}
