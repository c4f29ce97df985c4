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

// maxNameBytes is the maximum length of a name in the settings, and of a literal that
// a fault quotes.
const maxNameBytes = 64

// Kinds of addresses.
const (
	// addressListen is an address at which the process itself listens. Port 0 lets the
	// operating system choose a port.
	addressListen addressKind = iota
	// addressRemote is an address at which one process connects to another.
	addressRemote
)

// addressKind is the use of an address. It determines which addresses are valid.
type addressKind int

// address returns the IP address and port under the key "address".
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
			o.d.report(value.StartOffset, buckthorndyke.FaultType, fmt.Sprintf("an entry of %q must be a string", key), "write \"…\"")
			continue
		}
		o.d.checkAddress(text, value.StartOffset, addressRemote)
		out = append(out, text)
	}
	return out
}

// checkAddress records a fault if text, which starts at offset, is not a valid
// address of the given kind.
func (d *document) checkAddress(text string, offset int, kind addressKind) {
	parsed, err := netip.ParseAddrPort(text)
	remedy := "write an IP address with a port, such as 10.0.0.7:8080 or [fd00::7]:8080"
	switch {
	case err != nil:
		d.report(offset, buckthorndyke.FaultAddress, fmt.Sprintf("%q is not an IP address with a port", text), remedy)
	case parsed.Addr().Zone() != "":
		d.report(offset, buckthorndyke.FaultAddress, fmt.Sprintf("%q has an IPv6 zone", text), remedy)
	case kind == addressRemote && parsed.Port() == 0:
		d.report(offset, buckthorndyke.FaultAddress, fmt.Sprintf("%q has port 0", text), "write the port at which other processes connect")
	case kind == addressRemote && parsed.Addr().IsUnspecified():
		d.report(offset, buckthorndyke.FaultAddress, fmt.Sprintf("%q is the unspecified address", text), remedy)
	}
}

// boolean returns the boolean under key, or fallback if it is absent or invalid.
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

// choice returns the string under key, which must be one of choices. If it is absent,
// the first choice is returned.
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

// fraction returns the number under key, which must be from 0 to 1. It returns
// fallback if the number is absent or invalid.
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

// integer returns the whole number under key, which must be from low to high. It
// returns fallback if the number is absent or invalid.
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

// rounded returns the number under key, which must be from low to high, as a whole number.
// A fraction, as a template may render it, is rounded with round. It returns fallback if
// the number is absent or invalid.
func (o object) rounded(key string, fallback, low, high int, round func(float64) float64) int {
	value, ok := o.member(key)
	if !ok {
		return fallback
	}
	n, err := strconv.ParseFloat(literalText(value), 64)
	if !isKind(value, '0') || err != nil || n < float64(low) || n > float64(high) {
		o.d.report(value.StartOffset, buckthorndyke.FaultRange, fmt.Sprintf("%q is %s", key, literalText(value)),
			fmt.Sprintf("write a number from %d to %d", low, high))
		return fallback
	}
	return int(round(n))
}

// roundedMillis returns the duration in milliseconds under key, as rounded does.
func (o object) roundedMillis(key string, fallback, low, high buckthorndyke.Millis, round func(float64) float64) buckthorndyke.Millis {
	return buckthorndyke.Millis(o.rounded(key, int(fallback), int(low), int(high), round))
}

// millis returns the duration in milliseconds under key, as integer does.
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

// names returns the names in the array under key, which must be in kebab case and
// unique.
func (o object) names(key string) []string {
	var names []string
	for _, value := range o.array(key) {
		text, ok := unquote(value)
		switch {
		case !ok:
			o.d.report(value.StartOffset, buckthorndyke.FaultType, fmt.Sprintf("an entry of %q must be a string", key), "write \"…\"")
		case slices.Contains(names, text):
			o.d.report(value.StartOffset, buckthorndyke.FaultDuplicate, fmt.Sprintf("%q contains %q twice", key, text), "remove one of them")
		default:
			o.d.checkName(text, value.StartOffset)
			names = append(names, text)
		}
	}
	return names
}

// text returns the string under key, its offset, and whether there is one.
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
		o.d.report(value.StartOffset, buckthorndyke.FaultType, fmt.Sprintf("%q must be a string", key), "write \"…\"")
	}
	return text, value.StartOffset, ok
}

// checkName records a fault if text, which starts at offset, is not a name in kebab
// case.
func (d *document) checkName(text string, offset int) {
	valid := len(text) <= maxNameBytes
	for part := range strings.SplitSeq(text, "-") {
		valid = valid && part != "" && strings.Trim(part, "abcdefghijklmnopqrstuvwxyz0123456789") == ""
	}
	if !valid {
		d.report(offset, buckthorndyke.FaultValue, fmt.Sprintf("%q is not a valid name", text),
			fmt.Sprintf("write at most %d lower-case letters, digits and single hyphens, with no hyphen at either end", maxNameBytes))
	}
}

// literalText returns the source text of a literal for use in a message. Objects,
// arrays and literals of more than maxNameBytes are described instead.
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

// isKind reports whether value is a literal of one of the kinds, such as '0' for a
// number.
func isKind(value hujson.Value, kinds ...hujson.Kind) bool {
	literal, ok := value.Value.(hujson.Literal)
	return ok && slices.Contains(kinds, literal.Kind())
}

// decimal returns the number under key, which must be from low to high. It returns
// fallback if the number is absent or invalid.
func (o object) decimal(key string, fallback, low, high float64) float64 {
	value, ok := o.member(key)
	if !ok {
		return fallback
	}
	n, err := strconv.ParseFloat(literalText(value), 64)
	if !isKind(value, '0') || err != nil || n < low || n > high {
		o.d.report(value.StartOffset, buckthorndyke.FaultRange, fmt.Sprintf("%q is %s", key, literalText(value)),
			fmt.Sprintf("write a number from %v to %v", low, high))
		return fallback
	}
	return n
}
