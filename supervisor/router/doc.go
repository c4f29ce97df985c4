// Package router takes a request to a runner or a backend server and its answer
// back. One task owns what the entry VM knows: the newest state, the runners'
// reports, the retry budget and the requests that are suspected of crashing
// runners. Each request is a task of its own that asks it by message.
package router
