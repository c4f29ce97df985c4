package parser

import (
	"fmt"
	"strings"

	"github.com/buckthorndyke/buckthorndyke"
)

// Maximum values of the numbers in rules.
const (
	maxFirstTokenMS = int(buckthorndyke.Hour)
	maxMaxTokens    = 1 << 20
	maxMemoryMB     = 1 << 21
	maxPercent      = 100
	maxQueueLimit   = 1 << 16
	maxReplicas     = 1 << 12
)

func (p *parserState) parseAdapter(l line) {
	name, ok := p.defineName(l)
	f := scanFields(p, l, []string{keyBase, keyMemory}, nil)
	memory := f.integer(keyMemory, 0, 1, maxMemoryMB)
	base, has := f.values[keyBase]
	if has {
		p.addReference(l, base, kindModel)
	}
	if ok {
		p.models = append(p.models, buckthorndyke.ModelRule{
			RequestedBy: l.requestedBy,
			Base:        buckthorndyke.ModelID(base.text),
			ID:          buckthorndyke.ModelID(name.text),
			MemoryMB:    memory,
		})
	}
}

func (p *parserState) parseCaller(l line) {
	name, ok := p.defineName(l)
	f := scanFields(p, l, []string{keyRank, keyTokenSHA256}, []string{keyModels, keyServices})
	rule := buckthorndyke.CallerRule{
		RequestedBy: l.requestedBy,
		ID:          buckthorndyke.CallerID(name.text),
		Key:         p.tokenDigest(f),
		Rank:        f.rank(),
	}
	for _, w := range f.list(keyModels) {
		p.addReference(l, w, kindAdapter)
		rule.Models = append(rule.Models, buckthorndyke.ModelID(w.text))
	}
	for _, w := range f.list(keyServices) {
		p.addReference(l, w, kindService)
		rule.Services = append(rule.Services, buckthorndyke.ServiceID(w.text))
	}
	if ok {
		p.rules = p.rules.WithCaller(rule)
	}
}

func (p *parserState) parseModel(l line) {
	name, ok := p.defineName(l)
	f := scanFields(p, l, []string{keyMemory, keyReplicas}, nil)
	rule := buckthorndyke.ModelRule{
		RequestedBy: l.requestedBy,
		ID:          buckthorndyke.ModelID(name.text),
		MemoryMB:    f.integer(keyMemory, 0, 1, maxMemoryMB),
		Replicas:    f.integer(keyReplicas, 0, 1, maxReplicas),
	}
	if ok {
		p.models = append(p.models, rule)
	}
}

func (p *parserState) parseRank(l line) {
	name, ok := p.defineName(l)
	f := scanFields(p, l, nil, []string{keySharePercent, keyQueueLimit, keyFirstToken, keyMaxTokens})
	rank, known := buckthorndyke.ParseRank(name.text)
	if ok && !known {
		l.report(p, name.column, buckthorndyke.FaultValue, fmt.Sprintf("%q is no rank", name.text), rankRemedy)
	}
	rule := buckthorndyke.DefaultRankRule(rank)
	rule.RequestedBy = l.requestedBy
	rule.FirstToken = buckthorndyke.Millis(f.integer(keyFirstToken, int(rule.FirstToken), 1, maxFirstTokenMS))
	rule.MaxTokens = f.integer(keyMaxTokens, rule.MaxTokens, 1, maxMaxTokens)
	rule.QueueLimit = f.integer(keyQueueLimit, rule.QueueLimit, 1, maxQueueLimit)
	rule.SharePercent = f.integer(keySharePercent, rule.SharePercent, 0, maxPercent)
	if w, has := f.values[keySharePercent]; has && known && !rank.Paid() && rule.SharePercent > 0 {
		f.report(w, buckthorndyke.FaultConflict, "the free rank has a share", "write share-percent=0")
	}
	if ok && known {
		p.rules = p.rules.WithRank(rule)
	}
}

func (p *parserState) parseService(l line) {
	name, ok := p.defineName(l)
	f := scanFields(p, l, nil, []string{keyIdempotent})
	rule := buckthorndyke.ServiceRule{RequestedBy: l.requestedBy, ID: buckthorndyke.ServiceID(name.text)}
	for _, w := range f.list(keyIdempotent) {
		rule.Idempotent = append(rule.Idempotent, f.idempotentCall(w))
	}
	if ok {
		p.rules = p.rules.WithService(rule)
	}
}

// idempotentCall returns the pattern of idempotent calls that w specifies as "METHOD"
// or "METHOD:/path".
func (f fields) idempotentCall(w word) string {
	method, path, hasPath := strings.Cut(w.text, ":")
	if method == "" || strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" ||
		(hasPath && !strings.HasPrefix(path, "/")) {
		f.report(w, buckthorndyke.FaultValue, fmt.Sprintf("%q is no call", w.text),
			"write METHOD or METHOD:/path, with the method in capitals")
	}
	if hasPath {
		return method + " " + path
	}
	return method
}

// rankRemedy is the remedy for an unknown rank.
const rankRemedy = "write urgent, ordinary or free"

// rank returns the rank of a caller, or RankFree if it is absent.
func (f fields) rank() buckthorndyke.Rank {
	w, ok := f.values[keyRank]
	if !ok {
		return buckthorndyke.RankFree
	}
	rank, known := buckthorndyke.ParseRank(w.text)
	if !known {
		f.report(w, buckthorndyke.FaultValue, fmt.Sprintf("%q is no rank", w.text), rankRemedy)
	}
	return rank
}

// tokenDigest returns the digest of a caller's token, or the zero value if it is absent,
// invalid or the same as that of another caller.
func (p *parserState) tokenDigest(f fields) buckthorndyke.KeyDigest {
	w, ok := f.values[keyTokenSHA256]
	if !ok {
		return buckthorndyke.KeyDigest{}
	}
	digest, ok := buckthorndyke.ParseKeyDigest(w.text)
	if !ok {
		// The message does not quote the value, because it may be the token itself.
		f.report(w, buckthorndyke.FaultValue, "the token is no SHA-256",
			"write the token's SHA-256 as 64 lower-case hexadecimal digits, never the token")
		return buckthorndyke.KeyDigest{}
	}
	if first, ok := p.tokens[w.text]; ok {
		f.report(w, buckthorndyke.FaultDuplicate,
			fmt.Sprintf("the caller on line %d has the same token", first.line.number), "give each caller its own token")
		return buckthorndyke.KeyDigest{}
	}
	p.tokens[w.text] = position{line: f.line, word: w}
	return digest
}
