package adjudicator

import "github.com/buckthorndyke/buckthorndyke"

// Bounds of keys.
const (
	// DefaultKeyLifetime is the age at which keys are refused.
	DefaultKeyLifetime = 12 * buckthorndyke.Hour
	// KeyTolerance is how far a key's time may be ahead of the log's, which makes
	// up for the callers' clocks, and how long after its record a claim may be
	// answered.
	KeyTolerance = 5 * buckthorndyke.Minute

	// bucketSpan is the span of key times that are dropped together.
	bucketSpan = 10 * buckthorndyke.Minute
)

// Ledger is what the records of one claims stream say of its keys. It is
// immutable.
//
// The first claim of a key holds it until its outcome NotRun. No other claim is
// granted meanwhile, and an outcome counts only from the holder. Since the log
// has one order, at most one asker at a time is told that it may send, whoever
// reads the log for it.
//
// A key is refused once the log's time is later than the key's by more than the
// lifetime, and its entry is dropped only after that. A record of a key is never
// older than the key's time less KeyTolerance, and a claim is answered within
// KeyTolerance after its record. A reader that starts later therefore finds all
// records of a key that is not refused if the log keeps records for longer than
// the lifetime plus twice KeyTolerance.
type Ledger struct {
	// buckets holds the entries by key time, so that old ones can be dropped.
	buckets  buckthorndyke.Table[buckthorndyke.Millis, buckthorndyke.Table[string, entry]]
	lifetime buckthorndyke.Millis
	// newest is the latest log time that was folded.
	newest buckthorndyke.Millis
	offset buckthorndyke.Offset
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithKeyLifetime sets the age at which keys are refused.
func WithKeyLifetime(d buckthorndyke.Millis) Option {
	return func(l *Ledger) { l.lifetime = d }
}

// NewLedger returns the ledger of an empty stream.
func NewLedger(opts ...Option) Ledger {
	l := Ledger{lifetime: DefaultKeyLifetime}
	for _, opt := range opts {
		opt(&l)
	}
	return l
}

// Final returns the answer to r and whether no later record can change it, so
// that r needs no record of its own. An error is a *buckthorndyke.RefusalError.
func (l Ledger) FinalReply(r buckthorndyke.ClaimRequest) (buckthorndyke.ClaimReply, bool, error) {
	k, ok := parseKey(r.Key)
	if !ok || l.expired(k) {
		reply, err := l.Reply(r)
		return reply, true, err
	}
	e, ok := l.entry(k)
	if !ok || !e.settled {
		return buckthorndyke.ClaimReply{}, false, nil
	}
	return e.reply(r), true, nil
}

// Len returns the number of keys that are kept.
func (l Ledger) Len() int {
	n := 0
	for _, bucket := range l.buckets.All() {
		n += bucket.Len()
	}
	return n
}

// Offset returns the offset of the last record that was folded.
func (l Ledger) Offset() buckthorndyke.Offset {
	return l.offset
}

// Answer returns the answer to r, whose record must have been folded. An error
// is a *buckthorndyke.RefusalError.
func (l Ledger) Reply(r buckthorndyke.ClaimRequest) (buckthorndyke.ClaimReply, error) {
	k, ok := parseKey(r.Key)
	if !ok {
		return buckthorndyke.ClaimReply{}, invalidKey("an idempotency key is a UUID of version 7")
	}
	if l.expired(k) {
		return buckthorndyke.ClaimReply{}, expiredKey()
	}
	e, ok := l.entry(k)
	if !ok {
		return buckthorndyke.ClaimReply{}, invalidKey("the idempotency key's time is in the future")
	}
	return e.reply(r), nil
}

// WithRecord returns a ledger that has folded the record at offset, which the
// log appended at the instant at of its own clock.
func (l Ledger) WithRecord(r buckthorndyke.ClaimRecord, offset buckthorndyke.Offset, at buckthorndyke.Millis) Ledger {
	l = l.WithSkipped(offset, at)
	k, ok := parseKey(r.Claim.Key)
	if !ok || l.expired(k) || k.created > at+KeyTolerance {
		return l
	}
	e, _ := l.entry(k)
	if r.Outcome != nil {
		return l.withEntry(k, e.withOutcome(*r.Outcome))
	}
	return l.withEntry(k, e.withClaim(r.Claim))
}

// WithSkipped returns a ledger that has passed over a record that it could not
// read.
func (l Ledger) WithSkipped(offset buckthorndyke.Offset, at buckthorndyke.Millis) Ledger {
	l.offset = offset
	l.newest = max(l.newest, at)
	for start := range l.buckets.All() {
		if start+bucketSpan+l.lifetime >= l.newest {
			break
		}
		l.buckets = l.buckets.Without(start)
	}
	return l
}

// entry returns the entry of k.
func (l Ledger) entry(k key) (entry, bool) {
	bucket, _ := l.buckets.Get(k.created - k.created%bucketSpan)
	return bucket.Get(k.text)
}

// expired reports whether k is refused for its age.
func (l Ledger) expired(k key) bool {
	return l.newest-k.created > l.lifetime
}

// withEntry returns a ledger that holds e for k.
func (l Ledger) withEntry(k key, e entry) Ledger {
	start := k.created - k.created%bucketSpan
	bucket, _ := l.buckets.Get(start)
	l.buckets = l.buckets.With(start, bucket.With(k.text, e))
	return l
}
