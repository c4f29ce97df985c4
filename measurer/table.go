package main

import (
	"fmt"
	"math"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/buckthorndyke/buckthorndyke"
)

// head writes the head of a table.
func header(w *strings.Builder, cells ...string) {
	row(w, cells...)
	fmt.Fprintln(w, "|"+strings.Repeat(" --- |", len(cells)))
}

// row writes one row of a table.
func row(w *strings.Builder, cells ...string) {
	fmt.Fprintln(w, "| "+strings.Join(cells, " | ")+" |")
}

// seconds returns a percentile in seconds.
func seconds(h *hdrhistogram.Histogram, percentile float64) string {
	return fmt.Sprintf("%.2f", float64(h.ValueAtPercentile(percentile))/float64(buckthorndyke.Second))
}

// share returns a part in hundredths.
func percentage(part float64) string {
	if math.IsNaN(part) {
		return "-"
	}
	return fmt.Sprintf("%.1f", part*percent)
}

// spreadOf returns the least and the greatest value of one seed, in parentheses.
func spreadOf(r results, value func(*tally) float64) string {
	least, greatest := r.spread(value)
	if math.IsNaN(least) || math.IsNaN(greatest) {
		return ""
	}
	return fmt.Sprintf(" (%.1f–%.1f)", least, greatest)
}
