// Package selector decides which backend server a relayed request is sent to. It does
// no I/O and does not read the clock.
package selector
