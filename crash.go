package buckthorndyke

import (
	"context"
	"strconv"
)

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
	Age Millis
	// Alone is set if no other request was in flight there.
	Alone    bool
	Lifetime Lifetime
	// Requests lists the requests that the server had received and not begun to answer.
	// Each is given by the fingerprints of what it holds, the most specific one last.
	Requests [][]Fingerprint
}

// CrashEvidence is what a VM tells others about crashes of servers and the requests that
// may have caused them.
type CrashEvidence struct {
	Crashes     []Crash
	Quarantines []QuarantineNotice
	Served      []ServedFingerprint
	// Version is the version of the sender's evidence.
	Version uint64
}

// Empty reports whether the evidence says nothing.
func (e CrashEvidence) Empty() bool {
	return len(e.Crashes) == 0 && len(e.Quarantines) == 0 && len(e.Served) == 0
}

// QuarantineNotice says that requests with a fingerprint are refused.
type QuarantineNotice struct {
	// Age is the time since the quarantine began.
	Age         Millis
	Fingerprint Fingerprint
	// Left is the time until it ends.
	Left Millis
}

// ServedFingerprint says that a server has begun to answer a request with a fingerprint.
type ServedFingerprint struct {
	// Age is the time since.
	Age         Millis
	Fingerprint Fingerprint
}

// CrashPeers exchanges evidence of crashes with other entry VMs.
type CrashPeers interface {
	// ShareCrashes tells the VM at address the evidence e and returns that VM's own.
	ShareCrashes(ctx context.Context, address string, e CrashEvidence) (CrashEvidence, error)
}

// QuarantineStore keeps the quarantines beyond the life of all VMs.
type QuarantineStore interface {
	// Drop removes a quarantine.
	Drop(ctx context.Context, f Fingerprint) error
	// Load returns the quarantines, each with the time that was left when it was put.
	Load(ctx context.Context) ([]QuarantineNotice, error)
	// Put adds a quarantine.
	Put(ctx context.Context, n QuarantineNotice) error
}

// CrashSource supplies this VM's evidence of crashes and takes that of others.
type CrashSource interface {
	// CrashEvidence returns all evidence of this VM, and whether a leader passes it on
	// to the other VMs.
	CrashEvidence(ctx context.Context) (CrashEvidence, bool, error)
	// HandleCrashEvidence adds the evidence of another VM.
	HandleCrashEvidence(ctx context.Context, e CrashEvidence) error
}
