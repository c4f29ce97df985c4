package steward

import "github.com/buckthorndyke/buckthorndyke"

// wishTime is how long a load is wished for beyond the time that it takes.
const refusedDemandRetention = 30 * buckthorndyke.Second

// wish is a load for paid requests that were refused because it takes longer
// than they can wait, so that they find the model loaded when they come back.
type refusedDemand struct {
	demand buckthorndyke.ModelDemand
	until  buckthorndyke.Millis
}

// wishes are the loads that are wished for. They are immutable.
type refusedDemands struct {
	byModel buckthorndyke.Table[buckthorndyke.ModelID, refusedDemand]
}

// demands returns waiting with the loads that are wished for behind it.
func (w refusedDemands) appendTo(waiting []buckthorndyke.ModelDemand) []buckthorndyke.ModelDemand {
	for _, wish := range w.byModel.All() {
		waiting = append(waiting, wish.demand)
	}
	return waiting
}

// has reports whether model is wished for.
func (w refusedDemands) has(model buckthorndyke.ModelID) bool {
	return w.byModel.Has(model)
}

// next returns the instant at which the first wish ends, or 0.
func (w refusedDemands) next() buckthorndyke.Millis {
	var next buckthorndyke.Millis
	for _, wish := range w.byModel.All() {
		if next == 0 || wish.until < next {
			next = wish.until
		}
	}
	return next
}

// with returns wishes that hold a load for a refused request.
func (w refusedDemands) with(r buckthorndyke.Waiter, loadWait buckthorndyke.Millis) refusedDemands {
	w.byModel = w.byModel.With(r.Model, refusedDemand{
		demand: buckthorndyke.ModelDemand{Arrived: r.Arrived, Model: r.Model, Rank: r.Rank},
		until:  r.Arrived + 2*loadWait + refusedDemandRetention,
	})
	return w
}

// withoutEnded returns the wishes that hold at now.
func (w refusedDemands) withoutEnded(now buckthorndyke.Millis) refusedDemands {
	for model, wish := range w.byModel.All() {
		if wish.until <= now {
			w.byModel = w.byModel.Without(model)
		}
	}
	return w
}
