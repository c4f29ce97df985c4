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
	var removed buckthorndyke.Table[string, FormerHolder]
	for d, id := range old.Keys() {
		if _, ok := next.ByKey(d); !ok && removed.Len() < maxFormerKeys {
			removed = removed.With(string(d[:]), FormerHolder{Caller: id, Version: version})
		}
	}
	if f.holders.Len()+removed.Len() > maxFormerKeys {
		return FormerKeys{holders: removed}
	}
	for d, holder := range removed.All() {
		f.holders = f.holders.With(d, holder)
	}
	return f
}
