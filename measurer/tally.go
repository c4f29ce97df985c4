package main

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/buckthorndyke/buckthorndyke"
)

// Range and precision of the histograms. The greatest value is in milliseconds.
const (
	histogramDigits = 3
	histogramMax    = int64(10 * buckthorndyke.Minute)
)

// Values of startKind.
const (
	// warmStart means that the model was loaded when the request arrived.
	warmStart startKind = iota
	// coldAdapter means that only the adapter had to be loaded.
	coldAdapter
	// coldModel means that a model had to be loaded.
	coldModel
)

// startKind says what had to be loaded for a request.
type startKind uint8

// rankTally counts the requests of one rank by outcome.
type rankTally struct {
	arrived, expired, inTime, late, refused, revoked int
	// entitled is the slot time that the rank was entitled to by its share and its
	// requests, and kept is how much of it the rank got, both in milliseconds.
	entitled, kept float64
	// firstToken holds the times to the first token.
	firstToken *hdrhistogram.Histogram
}

// inTimeShare returns the fraction of the requests that were granted a slot by
// their deadline, or NaN if there were no requests.
func (t rankTally) inTimeShare() float64 {
	return float64(t.inTime) / float64(t.arrived)
}

// keptShare returns the fraction of the entitled slot time that the rank got,
// or NaN if it was entitled to none.
func (t rankTally) keptShare() float64 {
	return t.kept / t.entitled
}

// lost returns the number of requests without an outcome. It is 0 unless the
// simulation or a policy is faulty.
func (t rankTally) lost() int {
	return t.arrived - t.expired - t.inTime - t.late - t.refused - t.revoked
}

// tally counts the events of one run.
type tally struct {
	// cold holds the times to the first token of requests whose model or adapter
	// was not loaded; coldModel holds those of them for which a model, and not
	// only an adapter, had to be loaded.
	cold, coldModel  *hdrhistogram.Histogram
	evictions, loads int
	// idle is the time for which models were loaded without requests in flight, in
	// milliseconds of a whole runner: each model counts by its fraction of the
	// runner's memory.
	idle float64
	// paidFirstToken holds the times to the first token of the paid ranks.
	paidFirstToken *hdrhistogram.Histogram
	// peakMemoryMB is the greatest memory use of a runner.
	peakMemoryMB int
	// peakModelLoads is the greatest number of concurrent model loads from the
	// weight store.
	peakModelLoads int
	ranks          [buckthorndyke.RankCount]rankTally
}

func newTally() *tally {
	t := &tally{cold: newHistogram(), coldModel: newHistogram(), paidFirstToken: newHistogram()}
	for rank := range t.ranks {
		t.ranks[rank].firstToken = newHistogram()
	}
	return t
}

// add adds the counts of another run.
func (t *tally) add(other *tally) {
	t.cold.Merge(other.cold)
	t.coldModel.Merge(other.coldModel)
	t.evictions += other.evictions
	t.loads += other.loads
	t.peakModelLoads = max(t.peakModelLoads, other.peakModelLoads)
	t.peakMemoryMB = max(t.peakMemoryMB, other.peakMemoryMB)
	t.idle += other.idle
	t.paidFirstToken.Merge(other.paidFirstToken)
	for rank := range t.ranks {
		mine, theirs := &t.ranks[rank], other.ranks[rank]
		mine.arrived += theirs.arrived
		mine.expired += theirs.expired
		mine.inTime += theirs.inTime
		mine.late += theirs.late
		mine.refused += theirs.refused
		mine.revoked += theirs.revoked
		mine.entitled += theirs.entitled
		mine.kept += theirs.kept
		mine.firstToken.Merge(theirs.firstToken)
	}
}

// addServed counts a request that got its first token after wait.
func (t *tally) addServed(rank buckthorndyke.Rank, wait buckthorndyke.Millis, start startKind, inTime bool) {
	k := &t.ranks[rank]
	if inTime {
		k.inTime++
	} else {
		k.late++
	}
	record(k.firstToken, wait)
	if rank.Paid() {
		record(t.paidFirstToken, wait)
	}
	if start != warmStart {
		record(t.cold, wait)
	}
	if start == coldModel {
		record(t.coldModel, wait)
	}
}

// arrived returns the number of requests.
func (t *tally) arrived() int {
	n := 0
	for _, k := range t.ranks {
		n += k.arrived
	}
	return n
}

// lost returns the number of requests without an outcome.
func (t *tally) lost() int {
	n := 0
	for _, k := range t.ranks {
		n += k.lost()
	}
	return n
}

// unserved returns the number of requests that got no complete response.
func (t *tally) unserved() int {
	n := 0
	for _, k := range t.ranks {
		n += k.expired + k.refused + k.revoked
	}
	return n
}

// newHistogram returns a histogram of times in milliseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

// record adds d to h.
func record(h *hdrhistogram.Histogram, d buckthorndyke.Millis) {
	// The value is clamped to the range of the histogram.
	_ = h.RecordValue(min(max(int64(d), 1), histogramMax))
}
