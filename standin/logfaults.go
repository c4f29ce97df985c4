package standin

import "github.com/buckthorndyke/buckthorndyke"

// LogFaults are the faults that a log service injects.
type LogFaults struct {
	// Delay is added to each append and read: one half before it takes effect,
	// the other before its reply arrives.
	Delay buckthorndyke.Millis `json:"delay-ms"`
	// Down refuses appends and reads with the verdict NotRun.
	Down bool `json:"down"`
	// LoseReplies is the number of following appends that take effect but fail
	// with the verdict MayHaveRun.
	LoseReplies int `json:"lose-answers"`
}

// LogStats counts the requests and bytes that a log service has handled.
type LogStats struct {
	// AppendedBytes is the sum of the sizes of all appended records.
	AppendedBytes int `json:"appended-bytes"`
	Appends       int `json:"appends"`
	Reads         int `json:"reads"`
}
