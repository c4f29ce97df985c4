package standin

import (
	"cmp"
	"maps"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// EngineJournal records what an engine has done, for assertions. Its maps and
// slices are copies.
type EngineJournal struct {
	// Changes are the changes of the models in memory, in sequence.
	Changes []ResidentChange `json:"changes"`
	Crashes int              `json:"crashes"`
	// HighestMemoryMB is the highest memory use so far.
	HighestMemoryMB int `json:"highest-memory-mb"`
	// HighestRunning is the highest number of jobs that ran at once.
	HighestRunning int `json:"highest-running"`
	// Jobs counts the accepted jobs by request.
	Jobs map[buckthorndyke.RequestID]int `json:"jobs"`
	// Loads counts the loads that were started, by model.
	Loads map[buckthorndyke.ModelID]int `json:"loads"`
	// Orders are the received orders, in sequence.
	Orders []OrderRecord `json:"orders"`
	// Overcommitted is set once the models in memory have exceeded MemoryMB.
	Overcommitted bool `json:"overcommitted"`
	// UnloadAbortedJobs counts the jobs that ended because their model was unloaded.
	UnloadAbortedJobs int `json:"unloaded-under-jobs"`
}

// OrderRecord is one order in a journal.
type OrderRecord struct {
	At    buckthorndyke.Millis `json:"at-ms"`
	Order buckthorndyke.Order  `json:"order"`
	// State is the order's state right after it was received: running, done,
	// failed or fenced.
	State buckthorndyke.OrderState `json:"state"`
}

// ResidentChange records that a model entered or left an engine's memory. A model
// that is still loading counts as in memory.
type ResidentChange struct {
	At       buckthorndyke.Millis  `json:"at-ms"`
	InMemory bool                  `json:"held"`
	Model    buckthorndyke.ModelID `json:"model"`
}

// compare orders changes by time; at the same time removals come first.
func (c ResidentChange) compare(other ResidentChange) int {
	if c.At == other.At && c.InMemory != other.InMemory {
		if other.InMemory {
			return -1
		}
		return 1
	}
	return cmp.Compare(c.At, other.At)
}

// MaxReplicas returns the highest number of engines that had a model in memory at
// once, according to their journals. Among changes at the same time removals count
// first.
func MaxReplicas(model buckthorndyke.ModelID, journals ...EngineJournal) int {
	var changes []ResidentChange
	for _, j := range journals {
		changes = append(changes, j.Changes...)
	}
	slices.SortStableFunc(changes, ResidentChange.compare)
	replicas, highest := 0, 0
	for _, c := range changes {
		switch {
		case c.Model != model:
		case c.InMemory:
			replicas++
			highest = max(highest, replicas)
		default:
			replicas--
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
