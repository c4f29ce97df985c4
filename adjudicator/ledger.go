package adjudicator

import "github.com/buckthorndyke/buckthorndyke"

// Limits on the age of keys.
const (
	// DefaultKeyLifetime is the default age above which keys are refused.
	DefaultKeyLifetime = 12 * buckthorndyke.Hour
	// KeyTolerance is how far the timestamp of a key may be ahead of the log's clock,
	// to allow for clock skew of the callers. It is also the longest time between the
	// record of a claim and the reply to it.
	KeyTolerance = 5 * buckthorndyke.Minute

	// bucketSpan is the range of key timestamps in one bucket. Expired entries are
	// deleted by the bucket.
	bucketSpan = 10 * buckthorndyke.Minute
)

// Ledger is the state of the keys of one claims stream. It is immutable.
//
// The first claim of a key holds the key until its outcome NotRun is recorded. No other
// claim is granted meanwhile, and only outcomes of the holder count. Since all readers
// see the records in the same order, at most one claimant at a time is granted the
// call, whichever reader replies to it.
//
// A key is refused once the log's time is later than the key's timestamp by more than
// the lifetime, and its entry is deleted only after that. A record of a key is never
// older than the key's timestamp less KeyTolerance, and a claim gets its reply within
// KeyTolerance after its record. A reader that starts later therefore sees all records
// of every key that is not refused, provided that the log retains records for longer
// than the lifetime plus twice KeyTolerance.
type Ledger struct {
	// buckets maps the start of a time range to the entries whose keys have timestamps
	// in that range.
	buckets  buckthorndyke.Table[buckthorndyke.Millis, buckthorndyke.Table[string, entry]]
	lifetime buckthorndyke.Millis
	// newest is the latest log time of a record that was applied or skipped.
	newest buckthorndyke.Millis
	offset buckthorndyke.Offset
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithKeyLifetime sets the age above which keys are refused.
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

// FinalReply returns the reply to r and true if no later record can change the reply,
// so that r needs no record of its own. The error is a *buckthorndyke.RefusalError.
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

// Len returns the number of keys in the ledger.
func (l Ledger) Len() int {
	n := 0
	for _, bucket := range l.buckets.All() {
		n += bucket.Len()
	}
	return n
}

// Offset returns the offset of the last record that was applied or skipped.
func (l Ledger) Offset() buckthorndyke.Offset {
	return l.offset
}

// Reply returns the reply to r, whose record must have been applied. The error is a
// *buckthorndyke.RefusalError.
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

// WithRecord returns a copy with the record at offset applied. at is the time at which
// the log appended the record, by its own clock. A record with an invalid or expired
// key is skipped.
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

// WithSkipped returns a copy that has skipped the record at offset, for example one
// that cannot be decoded. It deletes the entries that have expired by at.
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

// entry returns the entry for k, or false if there is none.
func (l Ledger) entry(k key) (entry, bool) {
	bucket, _ := l.buckets.Get(k.created - k.created%bucketSpan)
	return bucket.Get(k.text)
}

// expired reports whether k is older than the lifetime.
func (l Ledger) expired(k key) bool {
	return l.newest-k.created > l.lifetime
}

// withEntry returns a copy with the entry e for k.
func (l Ledger) withEntry(k key, e entry) Ledger {
	start := k.created - k.created%bucketSpan
	bucket, _ := l.buckets.Get(start)
	l.buckets = l.buckets.With(start, bucket.With(k.text, e))
	return l
}
