// Package dispatcher forwards requests to backend servers. Its task keeps the state of
// the servers and selects one with package selector. Each request has a goroutine, which
// asks the task for a server and reports the result of the attempt back to it.
package dispatcher
