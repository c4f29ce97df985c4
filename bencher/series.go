package main

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

// Range and precision of the histograms, in microseconds.
const (
	highestMicros     = 60_000_000
	significantDigits = 3
	microsPerMilli    = 1000
)

// target is one way to a model.
type target interface {
	// send sends one request and reads its whole answer.
	send(ctx context.Context) error
}

// series is the latencies of requests that were sent one way.
type series struct {
	elapsed   time.Duration
	histogram *hdrhistogram.Histogram
}

// perSecond returns the requests that were answered in a second.
func (s series) perSecond() float64 {
	return float64(s.histogram.TotalCount()) / s.elapsed.Seconds()
}

// quantile returns the q-th percentile in milliseconds.
func (s series) quantile(q float64) float64 {
	return float64(s.histogram.ValueAtQuantile(q)) / microsPerMilli
}

// series sends requests by a number of callers at once.
func (b *bench) series(ctx context.Context, to target, callers, requests int) (series, error) {
	parts := make([]*hdrhistogram.Histogram, callers)
	group, ctx := errgroup.WithContext(ctx)
	begun := time.Now()
	for i := range parts {
		parts[i] = hdrhistogram.New(1, highestMicros, significantDigits)
		group.Go(func() error { return sendAll(ctx, to, requests/callers, parts[i]) })
	}
	if err := group.Wait(); err != nil {
		return series{}, err
	}
	all := series{histogram: hdrhistogram.New(1, highestMicros, significantDigits), elapsed: time.Since(begun)}
	for _, part := range parts {
		all.histogram.Merge(part)
	}
	return all, nil
}

// sendAll sends n requests one after the other and records their latencies.
func sendAll(ctx context.Context, to target, n int, histogram *hdrhistogram.Histogram) error {
	for range n {
		begun := time.Now()
		if err := to.send(ctx); err != nil {
			return err
		}
		if err := histogram.RecordValue(time.Since(begun).Microseconds()); err != nil {
			return err
		}
	}
	return nil
}
