package standin

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// Adapters load in adapterLoadMin to adapterLoadMin+adapterLoadSpread.
const (
	adapterLoadMin    = 5 * buckthorndyke.Millisecond
	adapterLoadSpread = 5 * buckthorndyke.Millisecond
)

// Errors that end a job, a load or an order's call.
var (
	errCancelled = buckthorndyke.NewRefusal(
		buckthorndyke.CodeCallerGone, buckthorndyke.MayHaveRun, "the job was cancelled")
	errCrashed = buckthorndyke.NewRefusal(
		buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun, "the runner crashed")
	errOrderReplyLost = buckthorndyke.NewRefusal(
		buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun, "the reply to the order was lost")
	errStreamCut = buckthorndyke.NewRefusal(
		buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun, "the stream ended before its last token")
	errUnloaded = buckthorndyke.NewRefusal(
		buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun, "the model was unloaded")
)

// orderReply is the reply to an order.
type orderReply = result[buckthorndyke.OrderState]

// engineState is the state of a MemoryEngine.
type engineState struct {
	box          *mailer.Mailbox[message[*engineState]]
	cached       map[buckthorndyke.ModelID]buckthorndyke.Tier
	cfg          EngineConfig
	clock        buckthorndyke.Clock
	faults       EngineFaults
	fencingToken buckthorndyke.Offset
	history      []statusRecord
	incarnation  buckthorndyke.Incarnation
	jobs         map[buckthorndyke.JobID]*engineJob
	journal      EngineJournal
	loads        map[buckthorndyke.ModelID]engineLoad
	orders       map[buckthorndyke.OrderID]buckthorndyke.OrderState
	// queue holds the jobs that wait for a slot, ordered by rank.
	queue      []*engineJob
	residents  map[buckthorndyke.ModelID]buckthorndyke.Resident
	restarting bool
	running    int
	store      *MemoryWeightStore
}

// engineLoad is a load in progress.
type engineLoad struct {
	cancel context.CancelFunc
	order  buckthorndyke.OrderID
	// replies are the reply channels of the order and of its repetitions.
	replies []mailer.Reply[orderReply]
}

// sendReplies replies to the load's order and its repetitions.
func (l engineLoad) sendReplies(r orderReply) {
	for _, reply := range l.replies {
		reply.Answer(r)
	}
}

// statusRecord is the engine's status at a point in time.
type statusRecord struct {
	at     buckthorndyke.Millis
	status buckthorndyke.EngineStatus
}

func newEngineState(
	box *mailer.Mailbox[message[*engineState]], clock buckthorndyke.Clock, store *MemoryWeightStore, cfg EngineConfig,
) *engineState {
	s := &engineState{
		box: box, cached: make(map[buckthorndyke.ModelID]buckthorndyke.Tier), cfg: cfg, clock: clock,
		journal: EngineJournal{
			Jobs:  make(map[buckthorndyke.RequestID]int),
			Loads: make(map[buckthorndyke.ModelID]int),
		},
		incarnation: buckthorndyke.Incarnation(clock.Now()),
		store:       store,
	}
	for _, model := range cfg.CachedOnDisk {
		s.cached[model] = buckthorndyke.TierDisk
	}
	for _, model := range cfg.CachedInMemory {
		s.cached[model] = buckthorndyke.TierMemory
	}
	s.clear()
	return s
}

// addResident puts a model into memory.
func (s *engineState) addResident(r buckthorndyke.Resident) {
	s.residents[r.Model] = r
	s.journal.Changes = append(s.journal.Changes, ResidentChange{At: s.clock.Now(), InMemory: true, Model: r.Model})
	used := s.memoryUsed()
	s.journal.HighestMemoryMB = max(s.journal.HighestMemoryMB, used)
	s.journal.Overcommitted = s.journal.Overcommitted || used > s.cfg.MemoryMB
	s.record()
}

// clear resets the state that a crash loses. The fencing token is kept.
func (s *engineState) clear() {
	s.jobs = make(map[buckthorndyke.JobID]*engineJob)
	s.loads = make(map[buckthorndyke.ModelID]engineLoad)
	s.orders = make(map[buckthorndyke.OrderID]buckthorndyke.OrderState)
	s.residents = make(map[buckthorndyke.ModelID]buckthorndyke.Resident)
	s.history = nil
	s.queue = nil
	s.running = 0
}

// drop removes one model from memory and ends its load and its jobs.
func (s *engineState) drop(model buckthorndyke.ModelID) {
	if load, loading := s.loads[model]; loading {
		load.cancel()
		delete(s.loads, model)
		s.orders[load.order] = buckthorndyke.OrderFailed
		load.sendReplies(orderReply{value: buckthorndyke.OrderFailed})
	}
	for _, job := range s.jobs {
		if job.job.Model == model {
			s.journal.UnloadAbortedJobs++
			job.cancel(errUnloaded)
		}
	}
	s.removeResident(model)
	s.record()
}

// loadTime returns how long a load takes while the weight store serves it at full
// speed.
func (s *engineState) loadTime(order buckthorndyke.Order) buckthorndyke.Millis {
	duration := adapterLoadMin + buckthorndyke.Millis(xxhash.Sum64String(string(order.Model))%uint64(adapterLoadSpread+1))
	if order.Base == "" {
		rate := s.cfg.RemoteMBPerSecond
		switch s.tier(order.Model) {
		case buckthorndyke.TierMemory:
			rate = s.cfg.MemoryMBPerSecond
		case buckthorndyke.TierDisk:
			rate = s.cfg.DiskMBPerSecond
		default:
		}
		duration = buckthorndyke.Millis(order.MemoryMB) * buckthorndyke.Second / buckthorndyke.Millis(rate)
	}
	if s.faults.LoadTimeFactor > 0 {
		duration *= buckthorndyke.Millis(s.faults.LoadTimeFactor)
	}
	return duration
}

// memoryUsed returns the memory that the residents use, in megabytes.
func (s *engineState) memoryUsed() int {
	used := 0
	for _, r := range s.residents {
		used += r.MemoryMB
	}
	return used
}

// record adds the current status to the history, which reaches back StatusLag.
func (s *engineState) record() {
	if s.cfg.StatusLag <= 0 {
		return
	}
	now := s.clock.Now()
	s.history = append(s.history, statusRecord{at: now, status: s.status()})
	for len(s.history) > 1 && s.history[1].at+s.cfg.StatusLag <= now {
		s.history = s.history[1:]
	}
}

// removeResident removes a model from memory if it is there.
func (s *engineState) removeResident(model buckthorndyke.ModelID) {
	if _, held := s.residents[model]; !held {
		return
	}
	delete(s.residents, model)
	s.journal.Changes = append(s.journal.Changes, ResidentChange{At: s.clock.Now(), Model: model})
}

// status returns the current status, without the states of orders.
func (s *engineState) status() buckthorndyke.EngineStatus {
	return buckthorndyke.EngineStatus{
		Cached:       maps.Clone(s.cached),
		FencingToken: s.fencingToken,
		Jobs:         slices.Sorted(maps.Keys(s.jobs)),
		MemoryMB:     s.cfg.MemoryMB,
		Residents: slices.SortedFunc(maps.Values(s.residents), func(a, b buckthorndyke.Resident) int {
			return cmp.Compare(a.Model, b.Model)
		}),
		Slots:       s.cfg.Slots,
		Incarnation: s.incarnation,
	}
}

// tier returns the tier from which the engine loads a checkpoint.
func (s *engineState) tier(model buckthorndyke.ModelID) buckthorndyke.Tier {
	if tier, ok := s.cached[model]; ok {
		return tier
	}
	return buckthorndyke.TierRemote
}

// unreachable returns the refusal of a call while the engine is down, or nil.
func (s *engineState) unreachable() error {
	if !s.restarting && !s.faults.Down {
		return nil
	}
	return buckthorndyke.NewRefusal(
		buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun, "the runner is down")
}

// visibleStatus returns the status of StatusLag ago with the current states of
// orders.
func (s *engineState) visibleStatus() buckthorndyke.EngineStatus {
	status := s.status()
	now := s.clock.Now()
	for i, r := range s.history {
		if i == 0 || r.at+s.cfg.StatusLag <= now {
			status = r.status
		}
	}
	status.Orders = maps.Clone(s.orders)
	return status
}
