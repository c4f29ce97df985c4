package buckthorndyke

// AuditEntry is one attempt to change the configuration, accepted or not.
type AuditEntry struct {
	Accepted bool
	// At is the log service's wall time of the record.
	At Millis
	// Base is the version that the change was made from.
	Base Offset
	// Diff lists the lines that were added ("+") and removed ("-").
	Diff     []string
	Offset   Offset
	Operator string
	Reason   string
}
