package main

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/buckthorndyke/buckthorndyke"
)

// Range and precision of histograms.
const (
	histogramDigits = 3
	histogramMax    = int64(10 * buckthorndyke.Minute)
)

// Kinds of starts.
const (
	// warm means that a request found its model loaded.
	warmStart startKind = iota
	// coldAdapter means that only the adapter had to be loaded.
	coldAdapter
	// coldModel means that a model had to be loaded.
	coldModel
)

// coldness says what had to be loaded for a request.
type startKind uint8

// rankTally counts what became of one rank's requests.
type rankTally struct {
	arrived, expired, inTime, late, refused, revoked int
	// entitled and kept are the slot time that the rank's share and its offers
	// entitle it to, and what it got of that.
	entitled, kept float64
	// first holds the times to the first token.
	firstToken *hdrhistogram.Histogram
}

// inTimeShare returns the part of the requests that were served in time, or NaN
// if there were none.
func (t rankTally) inTimeShare() float64 {
	return float64(t.inTime) / float64(t.arrived)
}

// keptShare returns the part that the rank kept of what it was entitled to, or
// NaN if that was nothing.
func (t rankTally) keptShare() float64 {
	return t.kept / t.entitled
}

// lost returns the requests that were neither served nor refused.
func (t rankTally) lost() int {
	return t.arrived - t.expired - t.inTime - t.late - t.refused - t.revoked
}

// tally counts what happened in one run.
type tally struct {
	// cold holds the times to the first token of requests whose model was not
	// loaded, and coldModel those of them that waited for a load of a model rather
	// than of an adapter.
	cold, coldModel  *hdrhistogram.Histogram
	evictions, loads int
	// idle is the accelerator time of models without work, by memory.
	idle float64
	// paidFirst holds the times to the first token of the paid ranks.
	paidFirstToken *hdrhistogram.Histogram
	// highestMemoryMB is the greatest use of memory on one runner.
	peakMemoryMB int
	// highestAtOnce is the greatest number of models that came from the weight
	// store at once.
	peakModelLoads int
	ranks          [buckthorndyke.RankCount]rankTally
}

// newTally returns an empty tally.
func newTally() *tally {
	t := &tally{cold: newHistogram(), coldModel: newHistogram(), paidFirstToken: newHistogram()}
	for rank := range t.ranks {
		t.ranks[rank].firstToken = newHistogram()
	}
	return t
}

// add adds what happened in another run.
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

// served counts a request that got its first token after wait.
func (t *tally) addServed(rank buckthorndyke.Rank, wait buckthorndyke.Millis, cold startKind, inTime bool) {
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
	if cold != warmStart {
		record(t.cold, wait)
	}
	if cold == coldModel {
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

// lost returns the requests that were neither served nor refused.
func (t *tally) lost() int {
	n := 0
	for _, k := range t.ranks {
		n += k.lost()
	}
	return n
}

// unserved returns the requests that got no whole answer.
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

// record counts a time.
func record(h *hdrhistogram.Histogram, d buckthorndyke.Millis) {
	// The time is within the range.
	_ = h.RecordValue(min(max(int64(d), 1), histogramMax))
}
