package authenticator_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/authenticator"
)

// TestBearerKey guards against two readings of one field, of which one is checked and the
// other counts.
func TestBearerKey(t *testing.T) {
	for name, tc := range map[string]struct {
		values []string
		want   string
	}{
		"no field":                 {nil, ""},
		"a key":                    {[]string{"Bearer k"}, "k"},
		"another case":             {[]string{"bEARER K"}, "K"},
		"several spaces":           {[]string{"  Bearer   k  "}, "k"},
		"another scheme":           {[]string{"Basic k"}, ""},
		"no scheme":                {[]string{"k"}, ""},
		"no space":                 {[]string{"Bearerk"}, ""},
		"no key":                   {[]string{"Bearer"}, ""},
		"an empty key":             {[]string{"Bearer  "}, ""},
		"an empty field":           {[]string{""}, ""},
		"two keys":                 {[]string{"Bearer a b"}, "a b"},
		"the same field twice":     {[]string{"Bearer k", "Bearer k"}, "k"},
		"different fields":         {[]string{"Bearer k", "Bearer l"}, ""},
		"an empty field and one":   {[]string{"", "Bearer k"}, ""},
		"one and an empty field":   {[]string{"Bearer k", ""}, ""},
		"another scheme and one":   {[]string{"Basic x", "Bearer k"}, ""},
		"a list in a single field": {[]string{"Bearer k, Bearer k"}, "k, Bearer k"},
	} {
		t.Run(name, func(t *testing.T) { asserter.Equal(t, authenticator.BearerKey(tc.values), tc.want) })
	}
}
