package standin

import "github.com/buckthorndyke/buckthorndyke"

// Defaults of an EngineConfig.
const (
	defaultDiskMBPerSecond   = 4000
	defaultEngineMemoryMB    = 24000
	defaultMemoryMBPerSecond = 16000
	defaultPrefill           = 20 * buckthorndyke.Millisecond
	defaultRemoteMBPerSecond = 2000
	defaultResponseTokens    = 16
	defaultRestart           = 2 * buckthorndyke.Second
	defaultSlots             = 8
	defaultTokenInterval     = 10 * buckthorndyke.Millisecond
)

// EngineConfig says how an engine behaves. A zero value stands for the default.
type EngineConfig struct {
	// CachedInMemory and CachedOnDisk list the checkpoints that need not come from
	// the weight store.
	CachedInMemory []buckthorndyke.ModelID `json:"cached-in-memory"`
	CachedOnDisk   []buckthorndyke.ModelID `json:"cached-on-disk"`
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFencingToken bool `json:"checks-fence"`
	DiskMBPerSecond    int  `json:"disk-mb-per-second"`
	MemoryMB           int  `json:"memory-mb"`
	MemoryMBPerSecond  int  `json:"memory-mb-per-second"`
	// Prefill is the time from the start of a job to its first token.
	Prefill           buckthorndyke.Millis `json:"prefill-ms"`
	RemoteMBPerSecond int                  `json:"remote-mb-per-second"`
	// AnswerTokens is the number of tokens of an answer that is not bounded.
	ResponseTokens int `json:"answer-tokens"`
	// Restart is the time that the engine is down after a crash.
	Restart buckthorndyke.Millis `json:"restart-ms"`
	// Slots is the number of jobs that the engine batches.
	Slots int `json:"slots"`
	// StatusLag is how far all but the orders lag behind in a status.
	StatusLag buckthorndyke.Millis `json:"status-lag-ms"`
	// TokenInterval is the time between two tokens of a job.
	TokenInterval buckthorndyke.Millis `json:"token-interval-ms"`
}

// withDefaults returns c with the defaults in place of zero values.
func (c EngineConfig) withDefaults() EngineConfig {
	setDefault(&c.ResponseTokens, defaultResponseTokens)
	setDefault(&c.DiskMBPerSecond, defaultDiskMBPerSecond)
	setDefault(&c.MemoryMB, defaultEngineMemoryMB)
	setDefault(&c.MemoryMBPerSecond, defaultMemoryMBPerSecond)
	setDefault(&c.Prefill, defaultPrefill)
	setDefault(&c.RemoteMBPerSecond, defaultRemoteMBPerSecond)
	setDefault(&c.Restart, defaultRestart)
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.TokenInterval, defaultTokenInterval)
	return c
}

// setDefault sets *v to d if it is the zero value.
func setDefault[V comparable](v *V, d V) {
	var zero V
	if *v == zero {
		*v = d
	}
}

// EngineFaults are the faults of an engine. Those of streams apply once, to the
// next job that starts.
type EngineFaults struct {
	// CutStreamAfter breaks the next stream after that many tokens.
	CutStreamAfter int `json:"cut-stream-after"`
	// Down refuses all calls as not run. Jobs go on.
	Down bool `json:"down"`
	// DoubleToken sends the first token of the next stream twice.
	DuplicateToken bool `json:"double-token"`
	// CrossToken puts a token of another job into the next stream.
	ForeignToken bool `json:"cross-token"`
	// SlowLoads multiplies the time of each load, unless it is 0.
	LoadTimeFactor int `json:"slow-loads"`
	// LoseOrderAnswers is the number of next orders that are carried out but whose
	// callers get an error at once.
	LoseOrderReplies int `json:"lose-order-answers"`
	// OrderDelay is how long orders are on their way to the engine, even if their
	// callers give up.
	OrderDelay buckthorndyke.Millis `json:"order-delay-ms"`
}

// withoutStreamFaults returns f without the faults that apply to one stream.
func (f EngineFaults) withoutStreamFaults() EngineFaults {
	f.ForeignToken = false
	f.CutStreamAfter = 0
	f.DuplicateToken = false
	return f
}
