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

// target sends requests to the model, directly or through an entry VM.
type target interface {
	// send sends one request and reads the complete response.
	send(ctx context.Context) error
}

// series holds the latencies of a series of requests to one target, in
// microseconds.
type series struct {
	elapsed   time.Duration
	histogram *hdrhistogram.Histogram
}

// perSecond returns the number of completed requests per second.
func (s series) perSecond() float64 {
	return float64(s.histogram.TotalCount()) / s.elapsed.Seconds()
}

// quantile returns the q-th percentile in milliseconds.
func (s series) quantile(q float64) float64 {
	return float64(s.histogram.ValueAtQuantile(q)) / microsPerMilli
}

// series sends requests to a target from a number of concurrent callers.
func (b *bench) series(ctx context.Context, to target, callers, requests int) (series, error) {
	parts := make([]*hdrhistogram.Histogram, callers)
	group, ctx := errgroup.WithContext(ctx)
	start := time.Now()
	for i := range parts {
		parts[i] = hdrhistogram.New(1, highestMicros, significantDigits)
		group.Go(func() error { return sendAll(ctx, to, requests/callers, parts[i]) })
	}
	if err := group.Wait(); err != nil {
		return series{}, err
	}
	all := series{histogram: hdrhistogram.New(1, highestMicros, significantDigits), elapsed: time.Since(start)}
	for _, part := range parts {
		all.histogram.Merge(part)
	}
	return all, nil
}

// sendAll sends n requests one after the other and records their latencies in
// histogram.
func sendAll(ctx context.Context, to target, n int, histogram *hdrhistogram.Histogram) error {
	for range n {
		start := time.Now()
		if err := to.send(ctx); err != nil {
			return err
		}
		if err := histogram.RecordValue(time.Since(start).Microseconds()); err != nil {
			return err
		}
	}
	return nil
}
