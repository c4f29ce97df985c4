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
	// activePerRunner is the number of models of each runner that are asked for
	// at the same time in floods. The others are idle.
	activePerRunner = 3
	// burstTail is the shape of the Pareto distribution of the requests in a
	// burst.
	burstShape = 1.3
	// burstMax bounds the requests in a burst.
	burstMaxSize = 200
	// busiestEvery is the mean time between two bursts of the most popular model
	// at the busiest hour.
	peakBurstInterval = 12 * buckthorndyke.Minute
	// gapMedian and gapSigma are those of the log-normal distribution of the time
	// between two requests of a burst.
	gapMedian = 12 * buckthorndyke.Second
	gapSigma  = 1.0
	// holdMedian, holdSigma and holdMax are those of the log-normal distribution
	// of the time that a request takes a slot.
	holdMedian = 3 * buckthorndyke.Second
	holdSigma  = 0.8
	holdMax    = 30 * buckthorndyke.Second
	// nightPart is the part of the busiest hour's bursts that come at the
	// quietest hour.
	nightFraction = 0.1
	// zipfExponent is that of the popularity of models.
	zipfExponent = 0.9
)

// rankParts are the parts of the ranks in all arrivals.
var rankFractions = [buckthorndyke.RankCount]float64{0.25, 0.45, 0.30}

// burstyArrivals returns the arrivals of rarely used models over a span: each
// model has bursts of its own, whose sizes are heavy-tailed and whose times
// follow the hour of the day. Each burst has one rank.
func burstyArrivals(d deployment, seed uint64, span buckthorndyke.Millis) []request {
	var sources [][]request
	for i, p := range popularity(d, seed) {
		model := d.models[i].ID
		r := newRandom(seed, "bursts/"+string(model))
		every := float64(peakBurstInterval) / p
		var arrivals []request
		for at := r.ExpFloat64() * every; at < float64(span); at += r.ExpFloat64() * every {
			if r.Float64() < diurnalFactor(buckthorndyke.Millis(at)) {
				arrivals = append(arrivals, burst(r, model, buckthorndyke.Millis(at), span)...)
			}
		}
		sources = append(sources, arrivals)
	}
	return merge(sources...)
}

// burst returns the requests of one burst.
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

// dayRhythm returns the part of the busiest hour's bursts that come at an
// instant.
func diurnalFactor(at buckthorndyke.Millis) float64 {
	phase := 2 * math.Pi * float64(at%buckthorndyke.Day) / float64(buckthorndyke.Day)
	return nightFraction + (1-nightFraction)*(1-math.Cos(phase))/2
}

// steady is a source of Poisson arrivals of one rank.
type poissonSource struct {
	during span
	// load is the part of the fleet's slots that the arrivals take if all run.
	load float64
	rank buckthorndyke.Rank
	// skewed has all models asked for, whatever runners they are on, in place of
	// a few models of each runner.
	skewed bool
	// stream tells apart sources of one rank.
	stream int
}

// arrivals returns the arrivals of the source.
func (s poissonSource) arrivals(d deployment, seed uint64) []request {
	r := newRandom(seed, fmt.Sprintf("steady/%s/%d", s.rank, s.stream))
	cumulated := make([]float64, len(d.models))
	total := 0.0
	weights := balancedPopularity(d, seed)
	if s.skewed {
		weights = popularity(d, seed)
	}
	for i, p := range weights {
		total += p
		cumulated[i] = total
	}
	every := meanHold() / (s.load * runnerCount * runnerSlots)
	var arrivals []request
	for at := float64(s.during.from) + r.ExpFloat64()*every; at < float64(s.during.to); at += r.ExpFloat64() * every {
		pick, model := r.Float64()*total, 0
		for cumulated[model] < pick {
			model++
		}
		arrivals = append(arrivals, request{
			at: buckthorndyke.Millis(at), hold: randomHold(r), model: d.models[model].ID, rank: s.rank, stream: s.stream,
		})
	}
	return arrivals
}

// meanHold returns the mean time that a request takes a slot, in milliseconds.
// The bound of the time is left out of account.
func meanHold() float64 {
	return float64(holdMedian) * math.Exp(holdSigma*holdSigma/2)
}

// popularity returns the popularity of each model beside that of the most
// popular one. Which model is how popular depends on the seed.
func popularity(d deployment, seed uint64) []float64 {
	p := make([]float64, len(d.models))
	for place, i := range newRandom(seed, "popularity").Perm(len(p)) {
		p[i] = zipfWeight(place)
	}
	return p
}

// balancedPopularity returns the popularity of each model if only a few models
// of each runner are asked for, and all runners alike. The others have none.
func balancedPopularity(d deployment, seed uint64) []float64 {
	p := make([]float64, len(d.models))
	taken := make(map[buckthorndyke.RunnerID]int)
	total := 0.0
	for place := range activePerRunner {
		total += zipfWeight(place)
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

// zipf returns the popularity of the model at a place, from 0.
func zipfWeight(place int) float64 {
	return math.Pow(float64(place+1), -zipfExponent)
}

// randomHold returns the time that a request takes a slot.
func randomHold(r *rand.Rand) buckthorndyke.Millis {
	hold := buckthorndyke.Millis(float64(holdMedian) * math.Exp(holdSigma*r.NormFloat64()))
	return min(max(hold, 1), holdMax)
}

// randomRank returns a rank by rankParts.
func randomRank(r *rand.Rand) buckthorndyke.Rank {
	pick := r.Float64()
	for rank, part := range rankFractions {
		if pick < part {
			return buckthorndyke.Rank(rank)
		}
		pick -= part
	}
	return buckthorndyke.RankFree
}
