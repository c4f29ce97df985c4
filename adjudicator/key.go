package adjudicator

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
)

// keyVersion is the version of UUIDs that begin with their time (RFC 9562).
const uuidVersion = 7

// key is a ClaimKey whose idempotency key was read.
type key struct {
	// at is the time that the key carries, by the clock of who made it.
	created buckthorndyke.Millis
	// text identifies the key. All spellings of one UUID give the same text.
	text string
}

// parseKey reads the idempotency key in k.
func parseKey(k buckthorndyke.ClaimKey) (key, bool) {
	id, err := uuid.Parse(k.Key)
	if err != nil || id.Version() != uuidVersion || id.Variant() != uuid.RFC4122 {
		return key{}, false
	}
	var at buckthorndyke.Millis
	for _, b := range id[:6] {
		at = at<<8 | buckthorndyke.Millis(b)
	}
	return key{created: at, text: string(id[:]) + string(k.Caller) + "\x00" + string(k.Service)}, true
}

// StreamOf returns the claims stream of k among shards streams. An error is a
// *buckthorndyke.RefusalError for a key that is no UUID of version 7.
func StreamOf(k buckthorndyke.ClaimKey, shards int) (buckthorndyke.Stream, error) {
	parsed, ok := parseKey(k)
	if !ok {
		return "", invalidKey("an idempotency key is a UUID of version 7")
	}
	return Stream(int(xxhash.Sum64String(parsed.text) % uint64(shards))), nil
}

// Stream returns the claims stream with the given number.
func Stream(shard int) buckthorndyke.Stream {
	return buckthorndyke.Stream("claims-" + strconv.Itoa(shard))
}

// invalid returns the refusal of a key that is never granted. It is true that
// the call has not run: the key's claim is ignored by all readers, so that
// nothing is ever sent under it.
func invalidKey(message string) *buckthorndyke.RefusalError {
	return buckthorndyke.NewRefusal(buckthorndyke.CodeKeyInvalid, buckthorndyke.NotRun, message)
}

// expired returns the refusal of a key that is older than the key lifetime. The
// records of an earlier call with the key may be gone, so that it may have run.
func expiredKey() *buckthorndyke.RefusalError {
	return buckthorndyke.NewRefusal(buckthorndyke.CodeKeyExpired, buckthorndyke.MayHaveRun,
		"the idempotency key is too old")
}
