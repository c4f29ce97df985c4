// Package assessor finds backend servers that fail too many requests, from the
// attempt counts of all entry VMs. It does no I/O and does not read the clock.
package assessor
