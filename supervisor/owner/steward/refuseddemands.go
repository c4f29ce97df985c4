package steward

import "github.com/buckthorndyke/buckthorndyke"

// refusedDemandRetention is how long a refused demand is kept beyond twice the time
// that its load was predicted to take.
const refusedDemandRetention = 30 * buckthorndyke.Second

// refusedDemand is the demand for a model by paid requests that were refused because
// its load takes longer than they could wait. The model is loaded nevertheless, so
// that the requests can be served when they are retried.
type refusedDemand struct {
	demand buckthorndyke.ModelDemand
	until  buckthorndyke.Millis
}

// refusedDemands is the set of refused demands by model. It is immutable.
type refusedDemands struct {
	byModel buckthorndyke.Table[buckthorndyke.ModelID, refusedDemand]
}

// appendTo returns waiting followed by the refused demands.
func (w refusedDemands) appendTo(waiting []buckthorndyke.ModelDemand) []buckthorndyke.ModelDemand {
	for _, wish := range w.byModel.All() {
		waiting = append(waiting, wish.demand)
	}
	return waiting
}

// has reports whether there is a refused demand for model.
func (w refusedDemands) has(model buckthorndyke.ModelID) bool {
	return w.byModel.Has(model)
}

// next returns the time at which the first refused demand expires, or 0.
func (w refusedDemands) next() buckthorndyke.Millis {
	var next buckthorndyke.Millis
	for _, wish := range w.byModel.All() {
		if next == 0 || wish.until < next {
			next = wish.until
		}
	}
	return next
}

// with returns demands that include the refused request r, whose load was predicted
// to take loadWait.
func (w refusedDemands) with(r buckthorndyke.Waiter, loadWait buckthorndyke.Millis) refusedDemands {
	w.byModel = w.byModel.With(r.Model, refusedDemand{
		demand: buckthorndyke.ModelDemand{Arrived: r.Arrived, Model: r.Model, Rank: r.Rank},
		until:  r.Arrived + 2*loadWait + refusedDemandRetention,
	})
	return w
}

// withoutEnded returns the demands that have not expired at now.
func (w refusedDemands) withoutEnded(now buckthorndyke.Millis) refusedDemands {
	for model, wish := range w.byModel.All() {
		if wish.until <= now {
			w.byModel = w.byModel.Without(model)
		}
	}
	return w
}
