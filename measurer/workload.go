package main

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

// Parameters of the arrivals.
const (
	// activePerRunner is the number of models that balanced Poisson arrivals
	// request on each runner. The other models get no requests.
	activePerRunner = 3
	// burstShape is the shape parameter of the Pareto distribution of the number
	// of requests in a burst.
	burstShape = 1.3
	// burstMaxSize is the greatest number of requests in a burst.
	burstMaxSize = 200
	// peakBurstInterval is the mean time between two bursts of the most popular
	// model at the peak of the day.
	peakBurstInterval = 12 * buckthorndyke.Minute
	// gapMedian and gapSigma are the parameters of the log-normal distribution of
	// the time between two requests of a burst.
	gapMedian = 12 * buckthorndyke.Second
	gapSigma  = 1.0
	// holdMedian and holdSigma are the parameters of the log-normal distribution
	// of the time for which a request occupies a slot; holdMax limits it.
	holdMedian = 3 * buckthorndyke.Second
	holdSigma  = 0.8
	holdMax    = 30 * buckthorndyke.Second
	// nightFraction is the rate of bursts at the quietest time of the day, as a
	// fraction of the peak rate.
	nightFraction = 0.1
	// zipfExponent is the exponent of the Zipf distribution of popularity among
	// models.
	zipfExponent = 0.9
)

// rankFractions are the fractions of bursts by rank.
var rankFractions = [buckthorndyke.RankCount]float64{0.25, 0.45, 0.30}

// burstyArrivals returns arrivals for rarely used models, from 0 to span. Each
// model has its own bursts, whose sizes are heavy-tailed and whose rate follows
// the time of day. All requests of a burst have the same rank.
func burstyArrivals(d deployment, seed uint64, span buckthorndyke.Millis) []request {
	var sources [][]request
	for i, p := range popularity(d, seed) {
		model := d.models[i].ID
		r := newRandom(seed, "bursts/"+string(model))
		interval := float64(peakBurstInterval) / p
		var arrivals []request
		for at := r.ExpFloat64() * interval; at < float64(span); at += r.ExpFloat64() * interval {
			if r.Float64() < diurnalFactor(buckthorndyke.Millis(at)) {
				arrivals = append(arrivals, burst(r, model, buckthorndyke.Millis(at), span)...)
			}
		}
		sources = append(sources, arrivals)
	}
	return merge(sources...)
}

// burst returns the requests of one burst that starts at at, without those
// after span.
func burst(r *rand.Rand, model buckthorndyke.ModelID, at, span buckthorndyke.Millis) []request {
	size := min(int(math.Pow(1-r.Float64(), -1/burstShape)), burstMaxSize)
	rank := randomRank(r)
	var arrivals []request
	for range size {
		if at >= span {
			break
		}
		arrivals = append(arrivals, request{at: at, hold: randomHold(r), model: model, rank: rank})
		at += buckthorndyke.Millis(float64(gapMedian) * math.Exp(gapSigma*r.NormFloat64()))
	}
	return arrivals
}

// diurnalFactor returns the rate of bursts at an instant as a fraction of the
// peak rate.
func diurnalFactor(at buckthorndyke.Millis) float64 {
	phase := 2 * math.Pi * float64(at%buckthorndyke.Day) / float64(buckthorndyke.Day)
	return nightFraction + (1-nightFraction)*(1-math.Cos(phase))/2
}

// poissonSource is a source of Poisson arrivals of one rank.
type poissonSource struct {
	during span
	// load is the arrival rate as a fraction of the fleet's capacity.
	load float64
	rank buckthorndyke.Rank
	// skewed requests all models by popularity, so that runners are unevenly
	// loaded, instead of a few models of each runner.
	skewed bool
	// stream distinguishes sources of the same rank.
	stream int
}

// arrivals returns the arrivals of the source, in order.
func (s poissonSource) arrivals(d deployment, seed uint64) []request {
	r := newRandom(seed, fmt.Sprintf("steady/%s/%d", s.rank, s.stream))
	cumulative := make([]float64, len(d.models))
	total := 0.0
	weights := balancedPopularity(d, seed)
	if s.skewed {
		weights = popularity(d, seed)
	}
	for i, p := range weights {
		total += p
		cumulative[i] = total
	}
	interval := meanHold() / (s.load * runnerCount * runnerSlots)
	var arrivals []request
	for at := float64(s.during.from) + r.ExpFloat64()*interval; at < float64(s.during.to); at += r.ExpFloat64() * interval {
		pick, model := r.Float64()*total, 0
		for cumulative[model] < pick {
			model++
		}
		arrivals = append(arrivals, request{
			at: buckthorndyke.Millis(at), hold: randomHold(r), model: d.models[model].ID, rank: s.rank, stream: s.stream,
		})
	}
	return arrivals
}

// meanHold returns the mean time for which a request occupies a slot, in
// milliseconds. It ignores holdMax.
func meanHold() float64 {
	return float64(holdMedian) * math.Exp(holdSigma*holdSigma/2)
}

// popularity returns the popularity of each model relative to the most popular
// one. The seed determines the order of popularity.
func popularity(d deployment, seed uint64) []float64 {
	p := make([]float64, len(d.models))
	for position, i := range newRandom(seed, "popularity").Perm(len(p)) {
		p[i] = zipfWeight(position)
	}
	return p
}

// balancedPopularity returns a popularity of each model by which all runners
// get the same load, each for activePerRunner models. The other models have
// popularity 0.
func balancedPopularity(d deployment, seed uint64) []float64 {
	p := make([]float64, len(d.models))
	taken := make(map[buckthorndyke.RunnerID]int)
	total := 0.0
	for position := range activePerRunner {
		total += zipfWeight(position)
	}
	for _, i := range newRandom(seed, "popularity").Perm(len(p)) {
		home, _ := d.rules.Models.Get(d.models[i].PlacementModel())
		first := placer.Desired(home, d.runners)[0]
		if taken[first] < activePerRunner {
			p[i] = zipfWeight(taken[first]) / total
			taken[first]++
		}
	}
	return p
}

// zipfWeight returns the relative popularity of the model at a position, from
// 0.
func zipfWeight(position int) float64 {
	return math.Pow(float64(position+1), -zipfExponent)
}

// randomHold returns a time for which a request occupies a slot.
func randomHold(r *rand.Rand) buckthorndyke.Millis {
	hold := buckthorndyke.Millis(float64(holdMedian) * math.Exp(holdSigma*r.NormFloat64()))
	return min(max(hold, 1), holdMax)
}

// randomRank returns a rank with the probabilities in rankFractions.
func randomRank(r *rand.Rand) buckthorndyke.Rank {
	pick := r.Float64()
	for rank, fraction := range rankFractions {
		if pick < fraction {
			return buckthorndyke.Rank(rank)
		}
		pick -= fraction
	}
	return buckthorndyke.RankFree
}
