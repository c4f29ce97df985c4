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

// EngineConfig configures an engine. Zero values are replaced by defaults.
type EngineConfig struct {
	// CachedInMemory and CachedOnDisk list the checkpoints that are loaded from a
	// local cache instead of the weight store.
	CachedInMemory []buckthorndyke.ModelID `json:"cached-in-memory"`
	CachedOnDisk   []buckthorndyke.ModelID `json:"cached-on-disk"`
	// ChecksFencingToken makes the engine refuse orders with an outdated fencing token.
	ChecksFencingToken bool `json:"checks-fence"`
	DiskMBPerSecond    int  `json:"disk-mb-per-second"`
	MemoryMB           int  `json:"memory-mb"`
	MemoryMBPerSecond  int  `json:"memory-mb-per-second"`
	// Prefill is the time from the start of a job to its first token.
	Prefill           buckthorndyke.Millis `json:"prefill-ms"`
	RemoteMBPerSecond int                  `json:"remote-mb-per-second"`
	// ResponseTokens is the length of a response, unless its job sets a lower limit.
	ResponseTokens int `json:"answer-tokens"`
	// Restart is how long the engine is down after a crash.
	Restart buckthorndyke.Millis `json:"restart-ms"`
	// Slots is the number of jobs that the engine runs at once.
	Slots int `json:"slots"`
	// StatusLag is the age of the status that the engine reports. The states of
	// orders are always current.
	StatusLag buckthorndyke.Millis `json:"status-lag-ms"`
	// TokenInterval is the time between two tokens of a job.
	TokenInterval buckthorndyke.Millis `json:"token-interval-ms"`
}

// withDefaults returns c with zero values replaced by defaults.
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

// EngineFaults are the faults that an engine injects. Those of streams apply once,
// to the next job that starts.
type EngineFaults struct {
	// CutStreamAfter ends the next stream with an error after that many tokens,
	// unless it is 0.
	CutStreamAfter int `json:"cut-stream-after"`
	// Down refuses all calls with the verdict NotRun. Jobs continue.
	Down bool `json:"down"`
	// DuplicateToken sends the first token of the next stream twice.
	DuplicateToken bool `json:"double-token"`
	// ForeignToken inserts a token of another job into the next stream.
	ForeignToken bool `json:"cross-token"`
	// LoadTimeFactor multiplies the time of each load, unless it is 0.
	LoadTimeFactor int `json:"slow-loads"`
	// LoseOrderReplies is the number of following orders that are carried out while
	// their callers get an error immediately.
	LoseOrderReplies int `json:"lose-order-answers"`
	// OrderDelay is the time before an order takes effect, even if its caller has
	// given up by then.
	OrderDelay buckthorndyke.Millis `json:"order-delay-ms"`
}

// withoutStreamFaults returns f without the faults that apply to a single stream.
func (f EngineFaults) withoutStreamFaults() EngineFaults {
	f.ForeignToken = false
	f.CutStreamAfter = 0
	f.DuplicateToken = false
	return f
}
