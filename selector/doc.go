// Package selector decides which backend server a relayed request goes to. It
// knows no socket, codec or clock.
package selector
