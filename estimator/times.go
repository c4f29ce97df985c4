package estimator

import (
	"cmp"
	"math"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// maxModels bounds the models with factors of their own.
	maxModels = 1024
	// spreadWeight is the weight of a further value in the spread.
	spreadWeight = 1.0 / 32
)

// Work is work that a server does or has done.
type Work struct {
	// Amount is the number of tokens, or 0 for work without an amount.
	Amount      int
	Incarnation buckthorndyke.Incarnation
	// Model is empty for work that does not depend on a model.
	Model  buckthorndyke.ModelID
	Server buckthorndyke.RunnerID
}

// Estimate is how long work is expected to take.
type Estimate struct {
	// Age is the time since the last value of the server, or of all servers if it has
	// none.
	Age buckthorndyke.Millis
	// Spread is the mean distance of earlier values from what was expected.
	Spread buckthorndyke.Millis
	Time   buckthorndyke.Millis
}

// Times estimates how long the servers of a service take for one kind of work: a time that
// grows with the amount, and factors by server and by model. It is immutable.
type Times struct {
	line    line
	models  buckthorndyke.Table[buckthorndyke.ModelID, factor]
	servers buckthorndyke.Table[buckthorndyke.RunnerID, factor]
	// spread is the mean distance of values from what was expected, as a part of that.
	spread float64
}

// ServerFactor is by how much a server takes longer than others for the same work.
type ServerFactor struct {
	Age    buckthorndyke.Millis
	Factor float64
	Server buckthorndyke.RunnerID
	// Spread is the factor by which single values typically differ from Factor.
	Spread float64
}

// Estimate returns how long w is expected to take, or false if nothing recent is known of
// any server.
func (t Times) Estimate(w Work, now buckthorndyke.Millis) (Estimate, bool) {
	if !t.line.known(now) {
		return Estimate{}, false
	}
	server, model := t.factors(w)
	out := Estimate{Age: now - t.line.at}
	if server.valid(w.Incarnation, now) {
		out.Age = now - server.at
	}
	scale := math.Exp(server.log(w.Incarnation, now) + model.log(0, now))
	fixed, perUnit := t.line.parts()
	if w.Amount == 0 && t.line.amount == 0 {
		fixed *= scale
	}
	expected := fixed + perUnit*float64(w.Amount)*scale
	out.Time, out.Spread = buckthorndyke.Millis(math.Round(expected)), buckthorndyke.Millis(math.Round(expected*t.spread))
	return out, true
}

// ServerFactors returns the known factors of servers, the slowest server first.
func (t Times) ServerFactors(now buckthorndyke.Millis) []ServerFactor {
	var out []ServerFactor
	for id, f := range t.servers.All() {
		if f.valid(f.incarnation, now) {
			out = append(out, ServerFactor{Age: now - f.at, Factor: math.Exp(f.mean), Server: id, Spread: math.Exp(f.spread)})
		}
	}
	slices.SortStableFunc(out, func(a, b ServerFactor) int { return cmp.Compare(b.Factor, a.Factor) })
	return out
}

// With returns the times after w has taken a time.
func (t Times) With(w Work, took, now buckthorndyke.Millis) Times {
	ratio, known := t.ratio(w, float64(took), now)
	if known {
		server, model := t.factors(w)
		serverLog, modelLog := server.log(w.Incarnation, now), model.log(0, now)
		t.servers = t.servers.With(w.Server, server.with(ratio-modelLog, w.Incarnation, now))
		if w.Model != "" && (t.models.Has(w.Model) || t.models.Len() < maxModels) {
			t.models = t.models.With(w.Model, model.with(ratio-serverLog, 0, now))
		}
	}
	if e, ok := t.Estimate(w, now); ok {
		distance := math.Abs(float64(took-e.Time)) / float64(max(e.Time, 1))
		t.spread += (min(distance, factorBound) - t.spread) * spreadWeight
	}
	t.line = t.line.with(float64(w.Amount), float64(took), now)
	return t
}

// WithoutOld returns the times without the factors that are too old at now, and of the
// servers that keep does not keep.
func (t Times) WithoutOld(now buckthorndyke.Millis, keep func(buckthorndyke.RunnerID) bool) Times {
	for id, f := range t.servers.All() {
		if !keep(id) || !f.valid(f.incarnation, now) {
			t.servers = t.servers.Without(id)
		}
	}
	for id, f := range t.models.All() {
		if !f.valid(0, now) {
			t.models = t.models.Without(id)
		}
	}
	return t
}

// factors returns the factors of the server and the model of w.
func (t Times) factors(w Work) (server, model factor) {
	server, _ = t.servers.Get(w.Server)
	if w.Model != "" {
		model, _ = t.models.Get(w.Model)
	}
	return server, model
}

// ratio returns the logarithm of how much longer w has taken than the line predicts, or
// false if the time shows nothing about that: most of it does not depend on the amount.
func (t Times) ratio(w Work, took float64, now buckthorndyke.Millis) (float64, bool) {
	if !t.line.known(now) {
		return 0, false
	}
	fixed, perUnit := t.line.parts()
	expected := perUnit * float64(w.Amount)
	switch {
	case w.Amount == 0 && t.line.amount == 0:
		expected = fixed
	case expected < fixed:
		return 0, false
	default:
		took -= fixed
	}
	if expected <= 0 {
		return 0, false
	}
	return math.Log(max(took, expected/factorBound) / expected), true
}
