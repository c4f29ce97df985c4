package buckthorndyke

// AuditEntry records one attempt to change the rules, accepted or rejected.
type AuditEntry struct {
	Accepted bool
	// At is the wall-clock time that the log service gave to the record.
	At Millis
	// Base is the version of the rules that the change was based on.
	Base Offset
	// Diff lists the added ("+") and removed ("-") lines.
	Diff     []string
	Offset   Offset
	Operator string
	Reason   string
}
