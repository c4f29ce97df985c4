// Package sequencer decides in which order the requests that wait for a server in one entry
// VM are offered a free slot, and which of them cannot be served in time. It does no I/O and
// does not read the clock.
package sequencer
