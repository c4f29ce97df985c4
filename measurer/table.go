package main

import (
	"fmt"
	"math"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/buckthorndyke/buckthorndyke"
)

// header writes the header row of a table.
func header(w *strings.Builder, cells ...string) {
	row(w, cells...)
	fmt.Fprintln(w, "|"+strings.Repeat(" --- |", len(cells)))
}

// row writes one row of a table.
func row(w *strings.Builder, cells ...string) {
	fmt.Fprintln(w, "| "+strings.Join(cells, " | ")+" |")
}

// seconds formats a percentile of h in seconds.
func seconds(h *hdrhistogram.Histogram, percentile float64) string {
	return fmt.Sprintf("%.2f", float64(h.ValueAtPercentile(percentile))/float64(buckthorndyke.Second))
}

// percentage formats a fraction in percent, or "-" for NaN.
func percentage(fraction float64) string {
	if math.IsNaN(fraction) {
		return "-"
	}
	return fmt.Sprintf("%.1f", fraction*percent)
}

// spreadOf formats the least and the greatest value among the seeds, in
// parentheses.
func spreadOf(r results, value func(*tally) float64) string {
	least, greatest := r.spread(value)
	if math.IsNaN(least) || math.IsNaN(greatest) {
		return ""
	}
	return fmt.Sprintf(" (%.1f–%.1f)", least, greatest)
}
