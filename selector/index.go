package selector

import (
	"maps"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// holderKey identifies a model at a service, or a service without models.
type holderKey struct {
	model   buckthorndyke.ModelID
	service buckthorndyke.ServiceID
}

// holder is a server with one of its loaded models.
type holder struct {
	model  buckthorndyke.LoadedModel
	server *buckthorndyke.Backend
}

// index holds the servers by what they have loaded, so that a choice does not go through
// all servers. It is never changed.
type index map[holderKey][]holder

// holders returns the servers that can have what a request needs, before anything is
// checked that changes between two lists.
func (v View) holders(key buckthorndyke.ModelKey) []holder {
	return v.index[holderKey{model: key.Model, service: key.Service}]
}

// indexed returns the view with an index of all its servers.
func (v View) indexed() View {
	out := make(index, len(v.index))
	servers := make([]buckthorndyke.Backend, 0, v.list.Servers.Len())
	for _, listed := range v.list.Servers.All() {
		servers = append(servers, listed)
		server := &servers[len(servers)-1]
		plain := holderKey{service: listed.Service}
		out[plain] = append(out[plain], holder{server: server})
		for _, m := range v.latest(listed).LoadedModels {
			key := holderKey{model: m.Model, service: listed.Service}
			out[key] = append(out[key], holder{model: m, server: server})
		}
	}
	v.index = out
	return v
}

// reindexed returns the view with an index in which only the models of the given servers
// may differ from the index of before.
func (v View) reindexed(before View, ids []buckthorndyke.RunnerID) View {
	out := maps.Clone(before.index)
	for _, id := range ids {
		listed, ok := v.list.Servers.Get(id)
		if !ok {
			continue
		}
		for _, m := range before.latest(listed).LoadedModels {
			key := holderKey{model: m.Model, service: listed.Service}
			out[key] = slices.DeleteFunc(slices.Clone(out[key]), func(h holder) bool { return h.server.ID == id })
		}
		for _, m := range v.latest(listed).LoadedModels {
			key := holderKey{model: m.Model, service: listed.Service}
			out[key] = append(slices.Clip(out[key]), holder{model: m, server: &listed})
		}
	}
	v.index = out
	return v
}
