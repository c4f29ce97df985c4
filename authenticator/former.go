package authenticator

import (
	"github.com/buckthorndyke/buckthorndyke"
)

// maxFormerKeys bounds the keys that are remembered after their removal. 4,096 take about
// half a megabyte.
const maxFormerKeys = 4096

// FormerHolder is the last holder of a key that was removed from the configuration.
type FormerHolder struct {
	Caller buckthorndyke.CallerID
	// Version is that of the first configuration without the key.
	Version int64
}

// FormerKeys are keys that were removed from the configuration. They name the caller in the
// log line of a refused request and decide nothing. They are immutable.
type FormerKeys struct {
	holders buckthorndyke.Table[string, FormerHolder]
}

// HolderOf returns the last holder of the key in credential, or false if it is not known to
// have had one.
func (f FormerKeys) HolderOf(credential buckthorndyke.Credential) (FormerHolder, bool) {
	return HolderOf(credential, func(d buckthorndyke.KeyDigest) (FormerHolder, bool) { return f.holders.Get(string(d[:])) })
}

// WithChange returns the former keys after the callers old were replaced by those of the
// given version. If they are too many, those of earlier versions are dropped.
func (f FormerKeys) WithChange(old, next buckthorndyke.Callers, version int64) FormerKeys {
	removed := make(map[string]FormerHolder)
	for d, id := range old.Keys() {
		if _, ok := next.ByKey(d); !ok && len(removed) < maxFormerKeys {
			removed[string(d[:])] = FormerHolder{Caller: id, Version: version}
		}
	}
	if len(removed) == 0 {
		return f
	}
	kept := f.holders
	if kept.Len()+len(removed) > maxFormerKeys {
		kept = buckthorndyke.Table[string, FormerHolder]{}
	}
	return FormerKeys{holders: buckthorndyke.NewTable(func(yield func(string, FormerHolder) bool) {
		for d, holder := range kept.All() {
			if _, again := removed[d]; !again && !yield(d, holder) {
				return
			}
		}
		for d, holder := range removed {
			if !yield(d, holder) {
				return
			}
		}
	})}
}
