package buckthorndyke

// TicketID numbers the tickets of one steward (the task that manages one runner)
// in the order of their arrival.
type TicketID uint64

// Waiter is a request in the admission queue of a runner.
type Waiter struct {
	Arrived Millis
	Caller  CallerID
	// Due is the instant at which the first token is due.
	Due   Millis
	ID    TicketID
	Model ModelID
	Rank  Rank
	// Suspect is set if the request may have crashed a runner. It only runs while
	// no other request does.
	Suspect bool
}

// AdmissionView is the state of the runner that an admission decision depends
// on. A new one is built for each decision.
type AdmissionView struct {
	// Loaded reports whether a model is loaded, so that requests for it can start.
	Loaded func(ModelID) bool
	// LoadWait predicts the time until a model that is not loaded can serve
	// requests.
	LoadWait func(ModelID) Millis
	Now      Millis
	// PreemptFree reports whether the running free requests of a model have to be
	// revoked, because the model is to be unloaded for one that paid requests wait
	// for.
	PreemptFree func(ModelID) bool
	// PreviousOwnerSlots is the number of slots taken by jobs that a previous owner
	// of the runner started.
	PreviousOwnerSlots int
	Rules              Rules
	Slots              int
	// StartsPaused reports whether no further request for a model may start.
	StartsPaused func(ModelID) bool
}

// AdmissionDecision lists the waiting and running requests that change state. The
// fields are to be applied in their order.
type AdmissionDecision struct {
	// Expired are waiting requests whose deadline is about to pass.
	Expired []Waiter
	// Granted are waiting requests to start now.
	Granted []Waiter
	// Revoked are running requests to stop in favor of others.
	Revoked []Waiter
}

// ModelDemand summarizes the requests that wait for one model.
type ModelDemand struct {
	// Arrived is the arrival time of the oldest waiting request of Rank.
	Arrived Millis
	Model   ModelID
	// Rank is the most urgent rank among the waiting requests.
	Rank    Rank
	Waiting int
}

// AdmissionPolicy decides which requests of one runner start, wait or are
// refused. It is immutable: methods that change it return a new value.
type AdmissionPolicy interface {
	// Decide returns the requests to expire, grant and revoke now.
	Decide(view AdmissionView) (AdmissionPolicy, AdmissionDecision)
	// Demand returns the models that requests wait for, in the order in which
	// they should be loaded.
	Demand() []ModelDemand
	// Enqueue adds w to the queue, or returns a *RefusalError with the verdict
	// NotRun.
	Enqueue(view AdmissionView, w Waiter) (AdmissionPolicy, error)
	// InFlight returns the number of running requests of a model.
	InFlight(model ModelID) int
	// NextExpiry returns the instant at which Decide expires the next request, or
	// false if no request waits.
	NextExpiry() (Millis, bool)
	// Running returns the running requests in the order of their arrival.
	Running() []Waiter
	// Waiting returns the waiting requests in the order of their arrival.
	Waiting() []Waiter
	// WaitingByRank returns the number of waiting requests of each rank.
	WaitingByRank() [RankCount]int
	// Without removes a request that has ended, whether it was waiting or running.
	Without(id TicketID, now Millis) AdmissionPolicy
}
