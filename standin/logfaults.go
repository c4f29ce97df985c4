package standin

import "github.com/buckthorndyke/buckthorndyke"

// LogFaults are the faults of a log service.
type LogFaults struct {
	// Delay is added to each append and read: one half before it takes effect,
	// the other before its answer arrives.
	Delay buckthorndyke.Millis `json:"delay-ms"`
	// Down refuses appends and reads as not run.
	Down bool `json:"down"`
	// LoseAnswers is the number of next appends that take effect but fail with
	// the verdict MayHaveRun.
	LoseReplies int `json:"lose-answers"`
}

// LogStats counts what a log service has carried.
type LogStats struct {
	// AppendedBytes is the sum of the sizes of all appended records.
	AppendedBytes int `json:"appended-bytes"`
	Appends       int `json:"appends"`
	Reads         int `json:"reads"`
}
