package adjudicator

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
)

// uuidVersion is the version of UUIDs that begin with a timestamp (RFC 9562).
const uuidVersion = 7

// key is a ClaimKey with its idempotency key parsed.
type key struct {
	// created is the timestamp in the UUID, by the clock of the caller that made it.
	created buckthorndyke.Millis
	// text identifies the key. It is the same for all notations of a UUID.
	text string
}

// parseKey parses the idempotency key in k. It returns false unless that is a UUID of
// version 7.
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

// StreamOf returns the claims stream to which k belongs if there are the given number
// of shards. The error is a *buckthorndyke.RefusalError if the key is not a UUID of
// version 7.
func StreamOf(k buckthorndyke.ClaimKey, shards int) (buckthorndyke.Stream, error) {
	parsed, ok := parseKey(k)
	if !ok {
		return "", invalidKey("an idempotency key is a UUID of version 7")
	}
	return Stream(int(xxhash.Sum64String(parsed.text) % uint64(shards))), nil
}

// Stream returns the name of the claims stream with the given number.
func Stream(shard int) buckthorndyke.Stream {
	return buckthorndyke.Stream("claims-" + strconv.Itoa(shard))
}

// invalidKey returns the refusal of a key that is never granted. The verdict NotRun is
// certain: all readers ignore the claims of such a key, so no call is ever made with
// it.
func invalidKey(message string) *buckthorndyke.RefusalError {
	return buckthorndyke.NewRefusal(buckthorndyke.CodeKeyInvalid, buckthorndyke.NotRun, message)
}

// expiredKey returns the refusal of a key that is older than the key lifetime. The
// verdict is MayHaveRun, since the log may have deleted the records of an earlier call
// with the key.
func expiredKey() *buckthorndyke.RefusalError {
	return buckthorndyke.NewRefusal(buckthorndyke.CodeKeyExpired, buckthorndyke.MayHaveRun,
		"the idempotency key is too old")
}
