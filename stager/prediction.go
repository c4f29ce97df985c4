package stager

import "github.com/buckthorndyke/buckthorndyke"

const (
	// adapterLoadTime is how long it takes to load an adapter: 10 ms by the
	// deployments' data sheets, plus the network.
	adapterLoadTime = 14 * buckthorndyke.Millisecond
	// ReportAge is how old the contents of a runner's report are: one that is requested
	// sooner after an order does not show its effect.
	ReportAge = 200 * buckthorndyke.Millisecond
	// predictionMargin and predictionPermille, in thousandths of the load time, are added
	// to the predicted time of a load. A VM that sends a request too early is refused and
	// then avoids the runner for longer than a report would have taken.
	predictionMargin   = 15 * buckthorndyke.Millisecond
	predictionPermille = 20
	// maxSlowness bounds the learned slowness of loads. With three times the configured
	// time, reports show the end of a load before the prediction.
	maxSlowness = 3.0
	// slownessRise and slownessFall are the factors on the slowness after a prediction
	// that reports contradict and after one that they confirm. By these, about one
	// prediction in 25 is wrong while load times are noisy.
	slownessRise = 1.25
	slownessFall = 0.99
)

// predictedLoad is a load that counts as complete although no report shows its end yet.
type predictedLoad struct {
	// at is the instant from which on the load counts as complete.
	at buckthorndyke.Millis
	// contradicted is set if a report has shown that the load was not complete, while the
	// runner had accepted a later order. Its memory stays reserved.
	contradicted bool
	order        pendingOrder
}

// AwaitsReport reports whether a report of a responsive runner is needed to end an order
// or to confirm a predicted end.
func (v View) AwaitsReport(id buckthorndyke.RunnerID) bool {
	s, ok := v.runners.Get(id)
	return ok && (s.pending != nil || s.predicted != nil) && !s.unresponsive()
}

// PredictedTime returns the time after its acceptance from which on an order counts as
// carried out unless reports contradict it. It returns false for orders whose end only a
// report shows: an unload waits for running requests, and loads from the weight store
// slow each other down.
func (v View) PredictedTime(o PlannedOrder) (buckthorndyke.Millis, bool) {
	switch {
	case o.Kind != buckthorndyke.OrderLoad:
		return 0, false
	case o.Adapter != "":
		return adapterLoadTime, true
	case o.Tier == buckthorndyke.TierRemote:
		return 0, false
	}
	s, ok := v.runners.Get(o.Runner)
	if !ok {
		return 0, false
	}
	takes := v.localLoadTime(buckthorndyke.ModelKey{Model: o.Model, Service: s.backend.Service}, o.Tier)
	return takes, takes > 0
}

// Unconfirmed returns the responsive runners whose reports are needed at now to confirm a
// predicted end of a load.
func (v View) Unconfirmed(now buckthorndyke.Millis) []buckthorndyke.RunnerID {
	var out []buckthorndyke.RunnerID
	for id, s := range v.runners.All() {
		if s.predicted != nil && s.pending == nil && now >= s.predicted.at+ReportAge && !s.unresponsive() {
			out = append(out, id)
		}
	}
	return out
}

// WithPredictedEnd returns a view in which an accepted order counts as carried out,
// although no report shows it yet. It is unchanged if the order has ended, or if its
// predicted time has not passed since it was sent.
func (v View) WithPredictedEnd(o PlannedOrder, now buckthorndyke.Millis) View {
	s, ok := v.runners.Get(o.Runner)
	takes, predictable := v.PredictedTime(o)
	if !ok || !predictable || s.pending == nil || !s.pending.matches(o) || !s.pending.accepted || now < s.pending.sent+takes {
		return v
	}
	order := *s.pending
	if order.adapter == "" {
		if s.predicted != nil || order.unpredictable {
			return v
		}
		s.predicted = &predictedLoad{at: now, order: order}
	}
	v.runners = v.runners.With(o.Runner, s.withDone(now))
	return v
}

// WrongPredictions returns how many predicted ends of loads reports have contradicted.
func (v View) WrongPredictions() int { return v.wrongPredictions }

// localLoadTime returns the predicted time of a load from a runner's disk or memory, or 0
// if the model is not configured.
func (v View) localLoadTime(key buckthorndyke.ModelKey, tier buckthorndyke.Tier) buckthorndyke.Millis {
	service, _ := v.routing.Services.Get(key.Service)
	if service.Engine == nil {
		return 0
	}
	model, _ := service.Engine.Models.Get(key.Model)
	takes := model.LoadTimes[tier]
	if takes <= 0 {
		return 0
	}
	takes = buckthorndyke.Millis(float64(takes) * v.slownessOf(key.Service, tier))
	return takes + takes*predictionPermille/1000 + predictionMargin
}

// loadDuration returns the time from an order to load the model of key until VMs are told
// that it is loaded. The end of a load from the weight store is known from reports alone.
func (v View) loadDuration(key buckthorndyke.ModelKey, tier buckthorndyke.Tier) buckthorndyke.Millis {
	if tier != buckthorndyke.TierRemote {
		return v.localLoadTime(key, tier)
	}
	service, _ := v.routing.Services.Get(key.Service)
	if service.Engine == nil {
		return 0
	}
	model, _ := service.Engine.Models.Get(key.Model)
	return model.LoadTimes[tier] + reportLag
}

// slownessOf returns the learned time of loads from a tier, as a multiple of the
// configured one.
func (v View) slownessOf(service buckthorndyke.ServiceID, tier buckthorndyke.Tier) float64 {
	learned, ok := v.slowness.Get(slownessKey(service, tier))
	if !ok {
		return 1
	}
	return learned
}

// withPrediction returns a view that has learned whether the predicted end of a load from
// a tier was right.
func (v View) withPrediction(service buckthorndyke.ServiceID, tier buckthorndyke.Tier, right bool) View {
	learned := v.slownessOf(service, tier)
	if right && learned == 1 {
		return v
	}
	if right {
		learned = max(learned*slownessFall, 1)
	} else {
		learned = min(learned*slownessRise, maxSlowness)
		v.wrongPredictions++
	}
	v.slowness = v.slowness.With(slownessKey(service, tier), learned)
	return v
}

// slownessKey is the table key of the learned slowness.
func slownessKey(service buckthorndyke.ServiceID, tier buckthorndyke.Tier) string {
	return string(service) + "/" + string(tier)
}

// withCheckedPrediction returns v and s, the state of a runner to which the backend of a
// report at now has just been applied, after the report has confirmed or contradicted the
// predicted end of a load. A report that may be from before that end does neither.
func (v View) withCheckedPrediction(s runnerState, now buckthorndyke.Millis) (View, runnerState) {
	p := s.predicted
	if p == nil {
		return v, s
	}
	if p.order.completedIn(s.backend) {
		if !p.contradicted {
			v = v.withPrediction(s.backend.Service, p.order.tier, true)
		}
		s.predicted = nil
		return v, s
	}
	if p.contradicted {
		if now >= p.order.sent+p.order.timeout() {
			s.predicted = nil
		}
		return v, s
	}
	if now < p.at+reportLag {
		s.backend = withLoaded(s.backend, p.order.model, "")
		return v, s
	}
	v = v.withPrediction(s.backend.Service, p.order.tier, false)
	order := p.order
	order.unpredictable = true
	if s.pending == nil {
		s.pending, s.predicted, s.targetModel = &order, nil, order.model
		return v, s
	}
	s.predicted = &predictedLoad{at: p.at, contradicted: true, order: order}
	return v, s
}
