package standin

import (
	"maps"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// EngineJournal is what an engine has done, for assertions. Its maps and slices
// are copies.
type EngineJournal struct {
	Crashes int `json:"crashes"`
	// HighestMemoryMB is the most memory that was in use at once.
	HighestMemoryMB int `json:"highest-memory-mb"`
	// HighestRunning is the most jobs that ran at once.
	HighestRunning int `json:"highest-running"`
	// Jobs counts the jobs that were accepted, by request.
	Jobs map[buckthorndyke.RequestID]int `json:"jobs"`
	// Loads counts the loads that were begun, by model.
	Loads map[buckthorndyke.ModelID]int `json:"loads"`
	// Orders are the orders that were received, in sequence.
	Orders []OrderRecord `json:"orders"`
	// Overcommitted is set once the memory in use has exceeded the memory.
	Overcommitted bool `json:"overcommitted"`
	// UnloadedUnderJobs counts the jobs that an unload broke off.
	UnloadedUnderJobs int `json:"unloaded-under-jobs"`
}

// OrderRecord is one order in a journal.
type OrderRecord struct {
	At    buckthorndyke.Millis `json:"at-ms"`
	Order buckthorndyke.Order  `json:"order"`
	// State is the order's state once it was received: running, done, failed or
	// fenced.
	State buckthorndyke.OrderState `json:"state"`
}

// clone returns a copy that shares nothing with j.
func (j EngineJournal) clone() EngineJournal {
	j.Jobs = maps.Clone(j.Jobs)
	j.Loads = maps.Clone(j.Loads)
	j.Orders = slices.Clone(j.Orders)
	return j
}
