package standin

import (
	"cmp"
	"maps"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// EngineJournal is what an engine has done, for assertions. Its maps and slices
// are copies.
type EngineJournal struct {
	// Changes are the changes of what the memory holds, in sequence.
	Changes []ResidentChange `json:"changes"`
	Crashes int              `json:"crashes"`
	// HighestMemoryMB is the most memory that was in use at once.
	HighestMemoryMB int `json:"highest-memory-mb"`
	// HighestRunning is the most jobs that ran at once.
	HighestRunning int `json:"highest-running"`
	// Jobs counts the jobs that were accepted, by request.
	Jobs map[buckthorndyke.RequestID]int `json:"jobs"`
	// UnloadedUnderJobs counts the jobs that an unload broke off.
	JobsAbortedByUnload int `json:"unloaded-under-jobs"`
	// Loads counts the loads that were begun, by model.
	Loads map[buckthorndyke.ModelID]int `json:"loads"`
	// Orders are the orders that were received, in sequence.
	Orders []OrderRecord `json:"orders"`
	// Overcommitted is set once the memory in use has exceeded the memory.
	Overcommitted bool `json:"overcommitted"`
}

// OrderRecord is one order in a journal.
type OrderRecord struct {
	At    buckthorndyke.Millis `json:"at-ms"`
	Order buckthorndyke.Order  `json:"order"`
	// State is the order's state once it was received: running, done, failed or
	// fenced.
	State buckthorndyke.OrderState `json:"state"`
}

// ResidentChange is one change of what an engine's memory holds. A model that is
// loading is held.
type ResidentChange struct {
	At       buckthorndyke.Millis  `json:"at-ms"`
	InMemory bool                  `json:"held"`
	Model    buckthorndyke.ModelID `json:"model"`
}

// compare orders changes by time and puts those that free memory first.
func (c ResidentChange) compare(other ResidentChange) int {
	if c.At == other.At && c.InMemory != other.InMemory {
		if other.InMemory {
			return -1
		}
		return 1
	}
	return cmp.Compare(c.At, other.At)
}

// HighestHolders returns the most engines that held a model at once, by their
// journals. Changes at one instant count as if those that free memory came first.
func MaxReplicas(model buckthorndyke.ModelID, journals ...EngineJournal) int {
	var changes []ResidentChange
	for _, j := range journals {
		changes = append(changes, j.Changes...)
	}
	slices.SortStableFunc(changes, ResidentChange.compare)
	holders, highest := 0, 0
	for _, c := range changes {
		switch {
		case c.Model != model:
		case c.InMemory:
			holders++
			highest = max(highest, holders)
		default:
			holders--
		}
	}
	return highest
}

// clone returns a copy that shares nothing with j.
func (j EngineJournal) clone() EngineJournal {
	j.Changes = slices.Clone(j.Changes)
	j.Jobs = maps.Clone(j.Jobs)
	j.Loads = maps.Clone(j.Loads)
	j.Orders = slices.Clone(j.Orders)
	return j
}
