package configurer

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/buckthorndyke/buckthorndyke"
)

// object is a JSON object that is being parsed. Each method that reads a member
// records its key as known, so that reportUnknownKeys can report the other keys. An
// absent object yields the fallback values and no faults.
type object struct {
	absent bool
	d      *document
	// knownKeys is the set of keys that the parser has asked for.
	knownKeys map[string]bool
	// label identifies the object in the cause of a fault.
	label   string
	members map[string]hujson.ObjectMember
	offset  int
}

// object returns the object in value. It records a fault and returns an absent
// object if value is of another type.
func (d *document) object(name string, value hujson.Value) object {
	o := object{
		d:         d,
		knownKeys: make(map[string]bool),
		label:     name,
		members:   make(map[string]hujson.ObjectMember),
		offset:    value.StartOffset,
	}
	parsed, ok := value.Value.(*hujson.Object)
	if !ok {
		d.report(o.offset, buckthorndyke.FaultType, name+" must be an object", "write an object {…}")
		o.absent = true
		return o
	}
	for _, m := range parsed.Members {
		key, _ := unquote(m.Name)
		if _, ok := o.members[key]; ok {
			d.report(m.Name.StartOffset, buckthorndyke.FaultDuplicate,
				fmt.Sprintf("%s contains %q twice", name, key), "remove one of them")
			continue
		}
		o.members[key] = m
	}
	return o
}

// has reports whether the object has a member under key, and records the key as
// known.
func (o object) has(key string) bool {
	_, ok := o.member(key)
	return ok
}

// member returns the value under key and whether there is one, and records the key
// as known.
func (o object) member(key string) (hujson.Value, bool) {
	if o.absent {
		return hujson.Value{}, false
	}
	o.knownKeys[key] = true
	m, ok := o.members[key]
	return m.Value, ok
}

// object returns the object under key, or an absent object.
func (o object) object(key string, required bool) object {
	value, ok := o.member(key)
	if ok {
		return o.d.object(fmt.Sprintf("%q", key), value)
	}
	if required {
		o.reportMissing(key)
	}
	return object{absent: true, d: o.d}
}

// objects returns the objects in the array under key.
func (o object) objects(key string) []object {
	var objects []object
	for _, value := range o.array(key) {
		objects = append(objects, o.d.object(fmt.Sprintf("an entry of %q", key), value))
	}
	return objects
}

// reportMissing records a fault for an absent required member.
func (o object) reportMissing(key string) {
	if !o.absent {
		o.d.report(o.offset, buckthorndyke.FaultMissing, fmt.Sprintf("%s has no %q", o.label, key), "add it")
	}
}

// reportUnknownKeys records a fault for each member whose key is not known. It must
// be called after all members have been read.
func (o object) reportUnknownKeys() {
	if o.absent {
		return
	}
	known := make([]string, 0, len(o.knownKeys))
	for key := range o.knownKeys {
		known = append(known, key)
	}
	slices.Sort(known)
	for key, m := range o.members {
		if !o.knownKeys[key] {
			o.d.report(m.Name.StartOffset, buckthorndyke.FaultUnknownKey,
				fmt.Sprintf("%s does not allow the key %q", o.label, key), "use only "+strings.Join(known, ", "))
		}
	}
}

// array returns the values in the array under key.
func (o object) array(key string) []hujson.Value {
	value, ok := o.member(key)
	if !ok {
		return nil
	}
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		o.d.report(value.StartOffset, buckthorndyke.FaultType, fmt.Sprintf("%q must be an array", key), "write an array […]")
		return nil
	}
	return array.Elements
}

// unquote returns the string in value, and whether value is a string.
func unquote(value hujson.Value) (string, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return "", false
	}
	var text string
	err := json.Unmarshal(literal, &text)
	return text, err == nil
}
