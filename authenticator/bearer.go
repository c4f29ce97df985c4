package authenticator

import "strings"

// BearerScheme is the authentication scheme of callers' keys. Schemes are compared without
// case (RFC 9110, section 11.1).
const BearerScheme = "Bearer"

// BearerKey returns the key in the values of an Authorization field, or an empty string if
// there is none. Values that differ, also if one of them is empty, contain no key, since it
// is not known which one counts.
func BearerKey(values []string) string {
	if len(values) == 0 {
		return ""
	}
	for _, v := range values[1:] {
		if v != values[0] {
			return ""
		}
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	if !strings.EqualFold(scheme, BearerScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}
