package buckthorndyke

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"iter"
	"slices"
	"strings"
)

// Units in which an allotment is counted.
const (
	// AllotmentRequests counts each request as one.
	AllotmentRequests AllotmentUnit = "requests"
	// AllotmentTokens counts the tokens of a request: those of the prompt and the
	// maximum of the response.
	AllotmentTokens AllotmentUnit = "tokens"
)

// AllotmentUnit says what an allotment counts.
type AllotmentUnit string

// Allotment limits what a caller may use, over all entry VMs together: in any window it
// is at most PerSecond times the window plus Burst, in Unit.
type Allotment struct {
	Burst float64
	// PerSecond is 0 if there is no limit.
	PerSecond float64
	// PlainTokens is what a request without a token count costs, in tokens.
	PlainTokens int
	Unit        AllotmentUnit
}

// Cost returns what r takes from the allotment, in its unit.
func (a Allotment) Cost(r RelayRequest) float64 {
	switch {
	case a.Unit != AllotmentTokens:
		return 1
	case !r.HasTokenCount:
		return float64(a.PlainTokens)
	default:
		return float64(r.PromptTokens + r.OutputTokens)
	}
}

// Unlimited reports whether the allotment does not limit its caller.
func (a Allotment) Unlimited() bool { return a.PerSecond <= 0 }

// KeyDigest is the SHA-256 of a caller's key. Keys themselves are not kept: a digest
// cannot be used to call the system, and comparing digests does not leak by its duration
// how much of a key is right.
type KeyDigest [sha256.Size]byte

// ParseKeyDigest returns the digest that text has in lower-case hexadecimal, or false if it
// has none.
func ParseKeyDigest(text string) (KeyDigest, bool) {
	var out KeyDigest
	if len(text) != hex.EncodedLen(len(out)) || strings.ToLower(text) != text {
		return KeyDigest{}, false
	}
	_, err := hex.Decode(out[:], []byte(text))
	return out, err == nil
}

// DigestKey returns the digest of key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// CallerFault is an irregular value in a caller of the operator's configuration. It never
// contains a key.
type CallerFault struct {
	// Caller is empty if the caller has no valid name.
	Caller CallerID
	// Index is the place of the caller in the configuration, from 0.
	Index int
	// Problem says what is irregular and what takes its place.
	Problem string
}

// Caller is a caller in the operator's configuration.
type Caller struct {
	Allotment
	// HasPriority is set if Priority replaces the priorities of routes.
	HasPriority bool
	ID          CallerID
	// Keys are the digests of the caller's keys.
	Keys []KeyDigest
	// Priority is 0 for the most urgent requests.
	Priority int
}

// PriorityOn returns the priority of the caller's requests on route.
func (c Caller) PriorityOn(route Route) int {
	if c.HasPriority {
		return c.Priority
	}
	return route.Priority
}

// Callers are the callers in one version of the operator's configuration. They are
// immutable.
type Callers struct {
	byID  Table[CallerID, Caller]
	byKey Table[string, CallerID]
	// required is set if the configuration has callers, even if the list is empty.
	required bool
}

// NewCallers returns callers without an entry. Requests then need a key that a caller
// holds, unlike with the zero value.
func NewCallers() Callers { return Callers{required: true} }

// All yields the callers.
func (c Callers) All() iter.Seq2[CallerID, Caller] { return c.byID.All() }

// ByKey returns the caller that holds the key with the given digest.
func (c Callers) ByKey(d KeyDigest) (Caller, bool) {
	id, ok := c.byKey.Get(string(d[:]))
	if !ok {
		return Caller{}, false
	}
	return c.byID.Get(id)
}

// Get returns the caller called id.
func (c Callers) Get(id CallerID) (Caller, bool) { return c.byID.Get(id) }

// Len returns the number of callers.
func (c Callers) Len() int { return c.byID.Len() }

// Keys yields the digests of all keys with the callers that hold them.
func (c Callers) Keys() iter.Seq2[KeyDigest, CallerID] {
	return func(yield func(KeyDigest, CallerID) bool) {
		for d, id := range c.byKey.All() {
			if !yield(KeyDigest([]byte(d)), id) {
				return
			}
		}
	}
}

// Required reports whether requests need the key of a caller.
func (c Callers) Required() bool { return c.required }

// CallersOf returns the callers in list. For many entries it allocates much less memory
// than a call of WithCaller for each. A key stays with the first caller that holds it.
func CallersOf(list []Caller) Callers {
	holders := make(map[KeyDigest]CallerID, len(list))
	kept := make([]Caller, 0, len(list))
	for _, caller := range list {
		// Each key has one holder in Keys too, so that a copy of the callers in another
		// order has the same holders.
		caller.Keys = slices.DeleteFunc(slices.Clone(caller.Keys), func(d KeyDigest) bool {
			holder, ok := holders[d]
			holders[d] = cmp.Or(holder, caller.ID)
			return ok && holder != caller.ID
		})
		kept = append(kept, caller)
	}
	return Callers{
		byID: TableOf(kept, func(c Caller) CallerID { return c.ID }),
		byKey: NewTable(func(yield func(string, CallerID) bool) {
			for d, id := range holders {
				if !yield(string(d[:]), id) {
					return
				}
			}
		}),
		required: true,
	}
}

// WithCaller returns a copy of c that includes caller. A key that another caller holds
// already stays with that one.
func (c Callers) WithCaller(caller Caller) Callers {
	if old, ok := c.byID.Get(caller.ID); ok {
		for _, d := range old.Keys {
			c.byKey = c.byKey.Without(string(d[:]))
		}
	}
	var keys []KeyDigest
	for _, d := range caller.Keys {
		if holder, ok := c.byKey.Get(string(d[:])); ok && holder != caller.ID {
			continue
		}
		c.byKey = c.byKey.With(string(d[:]), caller.ID)
		keys = append(keys, d)
	}
	caller.Keys = keys
	c.byID, c.required = c.byID.With(caller.ID, caller), true
	return c
}

// AllotmentUse is what one VM has used of a caller's allotment. The amounts count from
// the start of the VM's process, so that a lost or repeated report changes nothing.
type AllotmentUse struct {
	// Asked is what the caller has asked for, whether it was admitted or not.
	Asked  float64
	Caller CallerID
	// Filled is what the VM has added to its limit by itself, by its share.
	Filled float64
	// Limit is how much the VM may admit in all, by the last grant that it has received
	// and what it has added itself since.
	Limit float64
	// Share is the fraction of the allotment that the VM may use while there is no leader.
	Share float64
	// Spent is what the VM has sent to servers, without what no server has run.
	Spent float64
	// Waiting is what requests that wait for a grant need.
	Waiting float64
}

// AllotmentGrant is what a VM may use of a caller's allotment.
type AllotmentGrant struct {
	Caller CallerID
	// Limit is how much the VM may admit in all, since the start of its process.
	Limit float64
	// RoomIn is the time until the allotment has room for what all VMs wait for, or 0 if
	// it has room now.
	RoomIn Millis
	// Share is the fraction of the allotment that the VM may use while there is no
	// leader, from 0 to 1. The shares of all VMs add up to at most 1.
	Share float64
}
