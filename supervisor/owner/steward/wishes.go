package steward

import "github.com/buckthorndyke/buckthorndyke"

// wishTime is how long a load is wished for beyond the time that it takes.
const wishTime = 30 * buckthorndyke.Second

// wish is a load for paid requests that were refused because it takes longer
// than they can wait, so that they find the model loaded when they come back.
type wish struct {
	demand buckthorndyke.ModelDemand
	until  buckthorndyke.Millis
}

// wishes are the loads that are wished for. They are immutable.
type wishes struct {
	byModel buckthorndyke.Table[buckthorndyke.ModelID, wish]
}

// demands returns waiting with the loads that are wished for behind it.
func (w wishes) demands(waiting []buckthorndyke.ModelDemand) []buckthorndyke.ModelDemand {
	for _, wish := range w.byModel.All() {
		waiting = append(waiting, wish.demand)
	}
	return waiting
}

// has reports whether model is wished for.
func (w wishes) has(model buckthorndyke.ModelID) bool {
	return w.byModel.Has(model)
}

// next returns the instant at which the first wish ends, or 0.
func (w wishes) next() buckthorndyke.Millis {
	var next buckthorndyke.Millis
	for _, wish := range w.byModel.All() {
		if next == 0 || wish.until < next {
			next = wish.until
		}
	}
	return next
}

// with returns wishes that hold a load for a refused request.
func (w wishes) with(r buckthorndyke.Waiter, loadWait buckthorndyke.Millis) wishes {
	w.byModel = w.byModel.With(r.Model, wish{
		demand: buckthorndyke.ModelDemand{Arrived: r.Arrived, Model: r.Model, Rank: r.Rank},
		until:  r.Arrived + 2*loadWait + wishTime,
	})
	return w
}

// withoutEnded returns the wishes that hold at now.
func (w wishes) withoutEnded(now buckthorndyke.Millis) wishes {
	for model, wish := range w.byModel.All() {
		if wish.until <= now {
			w.byModel = w.byModel.Without(model)
		}
	}
	return w
}
