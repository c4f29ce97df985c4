package buckthorndyke

import "strconv"

// Lifetime identifies one run of a server, from its start to its end.
type Lifetime struct {
	Incarnation Incarnation
	Server      RunnerID
}

// String returns the server's id and the incarnation.
func (l Lifetime) String() string {
	return string(l.Server) + "@" + strconv.FormatUint(uint64(l.Incarnation), 10)
}

// Crash is the end of a server's lifetime while requests were in flight there.
type Crash struct {
	// Age is the time since the crash.
	Age      Millis
	Lifetime Lifetime
	// Requests lists the requests that the server had received and not begun to answer.
	// Each is given by the fingerprints of what it holds, the most specific one last.
	Requests [][]Fingerprint
}
