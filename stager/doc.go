// Package stager decides which models and adapters are loaded and unloaded on
// the runners, by the demand that the entry VMs report. It knows no socket,
// codec or clock.
package stager
