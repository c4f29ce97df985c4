// Package stager decides which models and adapters are loaded and unloaded on the
// runners, based on the demand that the entry VMs report. It does no I/O and does not
// read the clock.
package stager
