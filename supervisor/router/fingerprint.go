package router

import (
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndyke/buckthorndyke"
)

// fingerprint returns a hash of parts. The length of each part is hashed as well, so
// that different lists with the same concatenation get different hashes.
func fingerprint(parts ...string) buckthorndyke.Fingerprint {
	digest := xxhash.New()
	for _, part := range parts {
		// Writing to a Digest never fails.
		_, _ = digest.WriteString(strconv.Itoa(len(part)) + ":")
		_, _ = digest.WriteString(part)
	}
	return buckthorndyke.Fingerprint(hex.EncodeToString(digest.Sum(nil)))
}
