package buckthorndyke

// ModelRule permits the use of a model or adapter.
type ModelRule struct {
	// Base is the model that an adapter belongs to, or empty for a model.
	Base     ModelID
	ID       ModelID
	MemoryMB int
	// Replicas is the maximum number of runners that may hold the model at the same
	// time. Adapters have no limit of their own: they may be loaded wherever their
	// base model is permitted.
	Replicas int
	// RequestedBy names the person who requested the rule.
	RequestedBy string
}

// IsAdapter reports whether the rule is for an adapter.
func (r ModelRule) IsAdapter() bool { return r.Base != "" }

// PlacementModel returns the model whose placement determines the runners that may
// load r: the base model of an adapter, or the model itself.
func (r ModelRule) PlacementModel() ModelID {
	if r.IsAdapter() {
		return r.Base
	}
	return r.ID
}

// CallerRule permits a caller to use the system.
type CallerRule struct {
	ID CallerID
	// Key is the digest of the caller's key: its bearer token.
	Key KeyDigest
	// Models lists the models and adapters that the caller may use. If it is empty,
	// the caller may use all.
	Models      []ModelID
	Rank        Rank
	RequestedBy string
	// Services lists the services that the caller may use. If it is empty, the caller
	// may use all.
	Services []ServiceID
}

// RankRule sets the limits of a rank.
type RankRule struct {
	// FirstToken is the guaranteed maximum time to the first token. Requests that
	// cannot meet it are refused.
	FirstToken Millis
	// MaxTokens is the maximum length of a response in tokens.
	MaxTokens int
	// QueueLimit is the maximum number of waiting requests of the rank at one runner.
	QueueLimit  int
	Rank        Rank
	RequestedBy string
	// SharePercent is the share of a runner's slots that the rank is guaranteed when
	// other ranks overload the runner. The free rank has none.
	SharePercent int
}

// ServiceRule permits the use of a plain service: one that is called over HTTP and runs
// no models.
type ServiceRule struct {
	ID ServiceID
	// Idempotent lists the HTTP methods, or "METHOD /path" pairs, whose calls may
	// be repeated.
	Idempotent  []string
	RequestedBy string
}

// IsIdempotent reports whether a call may be repeated.
func (r ServiceRule) IsIdempotent(method, path string) bool {
	for _, pattern := range r.Idempotent {
		if pattern == method || pattern == method+" "+path {
			return true
		}
	}
	return false
}

// Rules are the parsed rules that operators have applied. They are immutable.
type Rules struct {
	Callers  Table[CallerID, CallerRule]
	Models   Table[ModelID, ModelRule]
	Ranks    Table[Rank, RankRule]
	Services Table[ServiceID, ServiceRule]
	// keys maps the callers' keys to the callers.
	keys Table[string, CallerID]
}

// CallerByKey returns the rule of the caller that holds the key with the given digest.
func (r Rules) CallerByKey(d KeyDigest) (CallerRule, bool) {
	id, ok := r.keys.Get(string(d[:]))
	if !ok {
		return CallerRule{}, false
	}
	return r.Callers.Get(id)
}

// RankRuleOf returns the rule of rank, or the default rule if there is none.
func (r Rules) RankRuleOf(rank Rank) RankRule {
	if rule, ok := r.Ranks.Get(rank); ok {
		return rule
	}
	return DefaultRankRule(rank)
}

// WithCaller returns a copy of r that includes c.
func (r Rules) WithCaller(c CallerRule) Rules {
	r.Callers = r.Callers.With(c.ID, c)
	r.keys = r.keys.With(string(c.Key[:]), c.ID)
	return r
}

// WithModel returns a copy of r that includes m.
func (r Rules) WithModel(m ModelRule) Rules {
	r.Models = r.Models.With(m.ID, m)
	return r
}

// WithModels returns a copy of r with the given models in place of its own.
func (r Rules) WithModels(models []ModelRule) Rules {
	r.Models = NewTable(func(yield func(ModelID, ModelRule) bool) {
		for _, m := range models {
			if !yield(m.ID, m) {
				return
			}
		}
	})
	return r
}

// WithRank returns a copy of r that includes rule.
func (r Rules) WithRank(rule RankRule) Rules {
	r.Ranks = r.Ranks.With(rule.Rank, rule)
	return r
}

// WithService returns a copy of r that includes s.
func (r Rules) WithService(s ServiceRule) Rules {
	r.Services = r.Services.With(s.ID, s)
	return r
}

// DefaultRankRule returns the rule that applies to a rank without one.
func DefaultRankRule(rank Rank) RankRule {
	rule := RankRule{FirstToken: 30 * Second, MaxTokens: 1024, QueueLimit: 64, Rank: rank}
	switch rank {
	case RankUrgent:
		rule.SharePercent = 60
	case RankOrdinary:
		rule.SharePercent = 40
	default:
	}
	return rule
}

// RulesParser parses the text form of rules.
type RulesParser interface {
	// Parse returns the rules in text, or a *FaultsError that gives the line, column
	// and cause of each fault.
	Parse(text string) (Rules, error)
}
