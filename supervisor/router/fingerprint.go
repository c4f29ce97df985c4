package router

import (
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndyke/buckthorndyke"
)

// fingerprint returns a digest of parts. Each part's length is hashed too, so
// that no two lists of parts run together.
func fingerprint(parts ...string) buckthorndyke.Fingerprint {
	digest := xxhash.New()
	for _, part := range parts {
		// A Digest's writes never fail.
		_, _ = digest.WriteString(strconv.Itoa(len(part)) + ":")
		_, _ = digest.WriteString(part)
	}
	return buckthorndyke.Fingerprint(hex.EncodeToString(digest.Sum(nil)))
}
