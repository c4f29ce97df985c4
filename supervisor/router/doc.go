// Package router forwards requests to runners and calls to backend servers, and
// returns the responses. One task owns the state that routing depends on: the newest
// state of the control stream, the runners' reports, the retry budget and the requests that are
// suspected of crashing runners. Each request runs in its own task, which exchanges
// messages with it.
package router
