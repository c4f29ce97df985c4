package translator

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// ListCopyFromWire returns the copy in m, which was received at now.
func ListCopyFromWire(m *wire.ListResponse, now buckthorndyke.Millis) buckthorndyke.ListCopy {
	out := buckthorndyke.ListCopy{Age: buckthorndyke.Millis(m.AgeMs), Ask: m.Ask, ReadDirectory: m.Read, VersionTag: m.Mark}
	out.List.At, out.List.ModelsAt = now-out.Age, now-buckthorndyke.Millis(m.ModelsAgeMs)
	out.List.Servers = serversFromWire(m.Servers)
	return out
}

// ListCopyToWire returns the message that carries c at now. It leaves out the checkpoints
// that servers have cached, which only the leader needs.
func ListCopyToWire(c buckthorndyke.ListCopy, now buckthorndyke.Millis) *wire.ListResponse {
	out := &wire.ListResponse{AgeMs: int64(c.Age), Ask: c.Ask, Mark: c.VersionTag, Read: c.ReadDirectory}
	if c.List.Servers.Len() == 0 {
		return out
	}
	out.ModelsAgeMs = int64(now - c.List.ModelsAt)
	out.Servers = make([]*wire.ListedServer, 0, c.List.Servers.Len())
	for _, b := range c.List.Servers.All() {
		b.Cached = nil
		out.Servers = append(out.Servers, backendToWire(b))
	}
	return out
}

// ListQueryFromWire returns the query in m.
func ListQueryFromWire(m *wire.ListRequest) buckthorndyke.ListQuery {
	return buckthorndyke.ListQuery{
		Address: m.Address, Hops: int(m.Hops), MaxAge: buckthorndyke.Millis(m.MaxAgeMs), VersionTag: m.Mark,
	}
}

// ListQueryToWire returns the message that carries q.
func ListQueryToWire(q buckthorndyke.ListQuery) *wire.ListRequest {
	return &wire.ListRequest{Address: q.Address, Hops: int32(q.Hops), Mark: q.VersionTag, MaxAgeMs: int64(q.MaxAge)}
}
