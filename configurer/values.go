package configurer

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/buckthorndyke/buckthorndyke"
)

// maxNameBytes bounds a name in the settings.
const maxNameBytes = 64

// Kinds of addresses.
const (
	// addressListen is where the process itself serves: port 0 lets the system
	// choose one.
	addressListen addressKind = iota
	// addressRemote is where one process reaches another.
	addressRemote
)

// addressKind says what an address is for.
type addressKind int

// address returns the IP address and port of the section.
func (o object) address(kind addressKind) string {
	text, offset, ok := o.text("address", true)
	if !ok {
		return ""
	}
	o.d.checkAddress(text, offset, kind)
	return text
}

// addresses returns the addresses in the array under key.
func (o object) addresses(key string) []string {
	var out []string
	for _, value := range o.array(key) {
		text, ok := unquote(value)
		if !ok {
			o.d.report(value.StartOffset, buckthorndyke.FaultType, fmt.Sprintf("an entry of %q must be a text", key), "write \"…\"")
			continue
		}
		o.d.checkAddress(text, value.StartOffset, addressRemote)
		out = append(out, text)
	}
	return out
}

// checkAddress reports what is wrong with an address that starts at an offset.
func (d *document) checkAddress(text string, offset int, kind addressKind) {
	parsed, err := netip.ParseAddrPort(text)
	remedy := "write an IP number with a port, as in 10.0.0.7:8080 or [fd00::7]:8080"
	switch {
	case err != nil:
		d.report(offset, buckthorndyke.FaultAddress, fmt.Sprintf("%q is no IP number with a port", text), remedy)
	case parsed.Addr().Zone() != "":
		d.report(offset, buckthorndyke.FaultAddress, fmt.Sprintf("%q has a zone", text), remedy)
	case kind == addressRemote && parsed.Port() == 0:
		d.report(offset, buckthorndyke.FaultAddress, fmt.Sprintf("%q has port 0", text), "write the port that others reach")
	case kind == addressRemote && parsed.Addr().IsUnspecified():
		d.report(offset, buckthorndyke.FaultAddress, fmt.Sprintf("%q names no VM", text), remedy)
	}
}

// boolean returns the truth value under key.
func (o object) boolean(key string, fallback bool) bool {
	value, ok := o.member(key)
	if !ok {
		return fallback
	}
	var b bool
	if !isKind(value, 't', 'f') || json.Unmarshal(value.Value.(hujson.Literal), &b) != nil {
		o.d.report(value.StartOffset, buckthorndyke.FaultType, fmt.Sprintf("%q must be true or false", key), "write true or false")
		return fallback
	}
	return b
}

// choice returns the text under key, which must be one of choices. The first
// one is the fallback.
func (o object) choice(key string, choices ...string) string {
	text, offset, ok := o.text(key, false)
	if !ok {
		return choices[0]
	}
	if !slices.Contains(choices, text) {
		o.d.report(offset, buckthorndyke.FaultValue, fmt.Sprintf("%q is %q", key, text), "write "+strings.Join(choices, " or "))
	}
	return text
}

// fraction returns the number under key, which must be from 0 to 1.
func (o object) fraction(key string, fallback float64) float64 {
	value, ok := o.member(key)
	if !ok {
		return fallback
	}
	n, err := strconv.ParseFloat(literalText(value), 64)
	if !isKind(value, '0') || err != nil || n < 0 || n > 1 {
		o.d.report(value.StartOffset, buckthorndyke.FaultRange, fmt.Sprintf("%q is %s", key, literalText(value)), "write a number from 0 to 1")
		return fallback
	}
	return n
}

// integer returns the whole number under key, which must be from low to high.
func (o object) integer(key string, fallback, low, high int) int {
	value, ok := o.member(key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(literalText(value))
	if !isKind(value, '0') || err != nil || n < low || n > high {
		o.d.report(value.StartOffset, buckthorndyke.FaultRange, fmt.Sprintf("%q is %s", key, literalText(value)),
			fmt.Sprintf("write a whole number from %d to %d", low, high))
		return fallback
	}
	return n
}

// millis returns the time in milliseconds under key.
func (o object) millis(key string, fallback, low, high buckthorndyke.Millis) buckthorndyke.Millis {
	return buckthorndyke.Millis(o.integer(key, int(fallback), int(low), int(high)))
}

// name returns the name in kebab case under key.
func (o object) name(key string) string {
	text, offset, ok := o.text(key, true)
	if ok {
		o.d.checkName(text, offset)
	}
	return text
}

// names returns the names in the array under key.
func (o object) names(key string) []string {
	var names []string
	for _, value := range o.array(key) {
		text, ok := unquote(value)
		switch {
		case !ok:
			o.d.report(value.StartOffset, buckthorndyke.FaultType, fmt.Sprintf("an entry of %q must be a text", key), "write \"…\"")
		case slices.Contains(names, text):
			o.d.report(value.StartOffset, buckthorndyke.FaultDuplicate, fmt.Sprintf("%q has %q twice", key, text), "keep one")
		default:
			o.d.checkName(text, value.StartOffset)
			names = append(names, text)
		}
	}
	return names
}

// text returns the text under key, where it starts, and whether there is one.
func (o object) text(key string, required bool) (text string, offset int, ok bool) {
	value, ok := o.member(key)
	if !ok {
		if required {
			o.reportMissing(key)
		}
		return "", 0, false
	}
	text, ok = unquote(value)
	if !ok {
		o.d.report(value.StartOffset, buckthorndyke.FaultType, fmt.Sprintf("%q must be a text", key), "write \"…\"")
	}
	return text, value.StartOffset, ok
}

// checkName reports a name that is not in kebab case.
func (d *document) checkName(text string, offset int) {
	valid := len(text) <= maxNameBytes
	for part := range strings.SplitSeq(text, "-") {
		valid = valid && part != "" && strings.Trim(part, "abcdefghijklmnopqrstuvwxyz0123456789") == ""
	}
	if !valid {
		d.report(offset, buckthorndyke.FaultValue, fmt.Sprintf("%q is no name", text),
			fmt.Sprintf("write at most %d lower-case letters and digits with single hyphens between", maxNameBytes))
	}
}

// brief returns value as it was written, without comments, and shortened.
func literalText(value hujson.Value) string {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		return "an object or array"
	}
	if text := string(literal); len(text) <= maxNameBytes {
		return text
	}
	return "a long value"
}

// isKind reports whether value is a literal of one of the kinds.
func isKind(value hujson.Value, kinds ...hujson.Kind) bool {
	literal, ok := value.Value.(hujson.Literal)
	return ok && slices.Contains(kinds, literal.Kind())
}
