package configurer

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/buckthorndyke/buckthorndyke"
)

// object is a JSON object while it is read. Its methods each read one member
// and make its key known. An absent object yields fallbacks and no faults.
type object struct {
	absent bool
	d      *document
	// known collects the keys that were asked for.
	knownKeys map[string]bool
	// title says in a fault which object is meant.
	label   string
	members map[string]hujson.ObjectMember
	offset  int
}

// object returns the object in value.
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
		d.report(o.offset, buckthorndyke.FaultType, name+" must be an object", "write {…}")
		o.absent = true
		return o
	}
	for _, m := range parsed.Members {
		key, _ := unquote(m.Name)
		if _, ok := o.members[key]; ok {
			d.report(m.Name.StartOffset, buckthorndyke.FaultDuplicate,
				fmt.Sprintf("%s has %q twice", name, key), "keep one")
			continue
		}
		o.members[key] = m
	}
	return o
}

// has reports whether the object has a member, and makes its key known.
func (o object) has(key string) bool {
	_, ok := o.member(key)
	return ok
}

// member returns the value under key.
func (o object) member(key string) (hujson.Value, bool) {
	if o.absent {
		return hujson.Value{}, false
	}
	o.knownKeys[key] = true
	m, ok := o.members[key]
	return m.Value, ok
}

// object returns the object under key, or an absent one.
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

// missing reports that a required member is absent.
func (o object) reportMissing(key string) {
	if !o.absent {
		o.d.report(o.offset, buckthorndyke.FaultMissing, fmt.Sprintf("%s has no %q", o.label, key), "add it")
	}
}

// close reports the members whose keys were not asked for.
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
				fmt.Sprintf("%s has no %q", o.label, key), "use only "+strings.Join(known, ", "))
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
		o.d.report(value.StartOffset, buckthorndyke.FaultType, fmt.Sprintf("%q must be an array", key), "write […]")
		return nil
	}
	return array.Elements
}

// unquote returns the text in value, and whether value is a text.
func unquote(value hujson.Value) (string, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return "", false
	}
	var text string
	err := json.Unmarshal(literal, &text)
	return text, err == nil
}
