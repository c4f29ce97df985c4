package stager

import "github.com/buckthorndyke/buckthorndyke"

// Expected returns when runners are going to hold what requests in lines wait
// for, as far as that is being loaded or waits for the weight store.
func (f View) LoadEstimates(lines []buckthorndyke.DemandEntry, now buckthorndyke.Millis) []buckthorndyke.LoadEstimate {
	var out []buckthorndyke.LoadEstimate
	for _, l := range lines {
		if l.Waiting == 0 {
			continue
		}
		in, ok := f.expected(l.Key, now)
		if !ok {
			in, ok = f.backlog(l.Key)
		}
		if ok {
			out = append(out, buckthorndyke.LoadEstimate{ReadyIn: in, Key: l.Key})
		}
	}
	return out
}

// backlog returns the time until a model that only the weight store has can be
// held, if the store is taken.
func (f View) backlog(key buckthorndyke.ModelKey) (buckthorndyke.Millis, bool) {
	service, _ := f.routing.Services.Get(key.Service)
	if service.Engine == nil {
		return 0, false
	}
	for _, s := range f.stages.All() {
		if s.backend.Service == key.Service && !s.down() && s.backend.Tier(key.Model) != buckthorndyke.TierRemote {
			return 0, false
		}
	}
	under := f.remoteLoads()
	if under < f.atOnce {
		return 0, false
	}
	facts, _ := service.Engine.Models.Get(key.Model)
	full := facts.LoadTimes[buckthorndyke.TierRemote]
	// One of those under way ends first; then this one takes its time.
	return full/buckthorndyke.Millis(under+1) + full + reportLag, true
}

// expected returns the time until a runner is going to hold what key names.
func (f View) expected(key buckthorndyke.ModelKey, now buckthorndyke.Millis) (buckthorndyke.Millis, bool) {
	service, _ := f.routing.Services.Get(key.Service)
	if service.Engine == nil {
		return 0, false
	}
	facts, _ := service.Engine.Models.Get(key.Model)
	var least buckthorndyke.Millis
	found := false
	for _, s := range f.stages.All() {
		if s.backend.Service != key.Service {
			continue
		}
		if in, ok := s.expected(key, facts, now); ok && (!found || in < least) {
			least, found = in, true
		}
	}
	return least, found
}
