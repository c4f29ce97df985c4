package buckthorndyke

// ModelRule permits a model or an adapter.
type ModelRule struct {
	// Base is the model that an adapter belongs to, or empty for a model.
	Base     ModelID
	ID       ModelID
	MemoryMB int
	// Replicas bounds the runners that may hold the model at once. An adapter
	// may be wherever its base is permitted, and has no bound of its own.
	Replicas int
	// RequestedBy names who asked for the rule.
	RequestedBy string
}

// IsAdapter reports whether the rule is for an adapter.
func (r ModelRule) IsAdapter() bool { return r.Base != "" }

// PlacementModel returns the model whose placement decides where r may be loaded.
func (r ModelRule) PlacementModel() ModelID {
	if r.IsAdapter() {
		return r.Base
	}
	return r.ID
}

// CallerRule permits a caller.
type CallerRule struct {
	ID CallerID
	// Models lists the models and adapters that the caller may use. If it is
	// empty the caller may use all.
	Models      []ModelID
	Rank        Rank
	RequestedBy string
	// Services lists the services that the caller may use. If it is empty the
	// caller may use all.
	Services []ServiceID
	// TokenSHA256 is the SHA-256 of the caller's bearer token, in lower-case
	// hexadecimal.
	TokenSHA256 string
}

// RankRule says what a rank may take.
type RankRule struct {
	// FirstToken is the time to the first token that the rank is promised. A
	// request that cannot be served within it is refused.
	FirstToken Millis
	// MaxTokens bounds the tokens of one answer.
	MaxTokens int
	// QueueLimit bounds the rank's waiting requests at one runner.
	QueueLimit  int
	Rank        Rank
	RequestedBy string
	// SharePercent is the part of a runner's slots that the rank keeps while
	// others flood. The free rank has none.
	SharePercent int
}

// ServiceRule permits a plain service.
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

// Rules are the operators' accepted configuration. They are immutable.
type Rules struct {
	Callers  Table[CallerID, CallerRule]
	Models   Table[ModelID, ModelRule]
	Ranks    Table[Rank, RankRule]
	Services Table[ServiceID, ServiceRule]
	// tokens finds callers by TokenSHA256.
	tokens Table[string, CallerID]
}

// CallerByToken returns the caller whose token has the given SHA-256.
func (r Rules) CallerByToken(sha256 string) (CallerRule, bool) {
	id, ok := r.tokens.Get(sha256)
	if !ok {
		return CallerRule{}, false
	}
	return r.Callers.Get(id)
}

// RankRuleOf returns the rule of rank, or the default if the rules have none.
func (r Rules) RankRuleOf(rank Rank) RankRule {
	if rule, ok := r.Ranks.Get(rank); ok {
		return rule
	}
	return DefaultRankRule(rank)
}

// WithCaller returns rules that also hold c.
func (r Rules) WithCaller(c CallerRule) Rules {
	r.Callers = r.Callers.With(c.ID, c)
	r.tokens = r.tokens.With(c.TokenSHA256, c.ID)
	return r
}

// WithModel returns rules that also hold m.
func (r Rules) WithModel(m ModelRule) Rules {
	r.Models = r.Models.With(m.ID, m)
	return r
}

// WithModels returns rules that hold models and no others.
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

// WithRank returns rules that also hold k.
func (r Rules) WithRank(k RankRule) Rules {
	r.Ranks = r.Ranks.With(k.Rank, k)
	return r
}

// WithService returns rules that also hold s.
func (r Rules) WithService(s ServiceRule) Rules {
	r.Services = r.Services.With(s.ID, s)
	return r
}

// DefaultRankRule returns the rule of a rank that the rules do not mention.
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

// RulesParser reads the text form of rules.
type RulesParser interface {
	// Parse returns the rules in text, or an error that names the line, the
	// column and the cause of each fault.
	Parse(text string) (Rules, error)
}
