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
func (d refusedDemands) appendTo(waiting []buckthorndyke.ModelDemand) []buckthorndyke.ModelDemand {
	for _, refused := range d.byModel.All() {
		waiting = append(waiting, refused.demand)
	}
	return waiting
}

// has reports whether there is a refused demand for model.
func (d refusedDemands) has(model buckthorndyke.ModelID) bool {
	return d.byModel.Has(model)
}

// nextExpiry returns the time at which the first refused demand expires, or 0.
func (d refusedDemands) nextExpiry() buckthorndyke.Millis {
	var next buckthorndyke.Millis
	for _, refused := range d.byModel.All() {
		if next == 0 || refused.until < next {
			next = refused.until
		}
	}
	return next
}

// with returns demands that include the refused request r, whose load was predicted
// to take loadWait.
func (d refusedDemands) with(r buckthorndyke.Waiter, loadWait buckthorndyke.Millis) refusedDemands {
	d.byModel = d.byModel.With(r.Model, refusedDemand{
		demand: buckthorndyke.ModelDemand{Arrived: r.Arrived, Model: r.Model, Rank: r.Rank},
		until:  r.Arrived + 2*loadWait + refusedDemandRetention,
	})
	return d
}

// withoutExpired returns the demands that have not expired at now.
func (d refusedDemands) withoutExpired(now buckthorndyke.Millis) refusedDemands {
	for model, refused := range d.byModel.All() {
		if refused.until <= now {
			d.byModel = d.byModel.Without(model)
		}
	}
	return d
}
