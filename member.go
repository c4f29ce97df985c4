package buckthorndyke

// Member is an entry VM that has joined the cluster.
type Member struct {
	Domain      DomainID
	Incarnation Incarnation
	// Leaving is set while the VM finishes its work before a planned stop.
	Leaving bool
	// PeerAddress is the IP address and port at which the VM serves its peers.
	PeerAddress string
	// Version is the offset of the last record that changed the member.
	Version Offset
	VM      VMID
}

// WithLeaving returns a copy of m that is marked as leaving.
func (m Member) WithLeaving() Member {
	m.Leaving = true
	return m
}

// WithVersion returns a copy of m with version v.
func (m Member) WithVersion(v Offset) Member {
	m.Version = v
	return m
}
