package buckthorndyke

// Member is an entry VM that has joined.
type Member struct {
	Domain      DomainID
	Incarnation Incarnation
	// Leaving is set while the VM drains.
	Leaving bool
	// PeerAddress is the IP address and port at which the VM answers its peers.
	PeerAddress string
	// Version is the offset of the record that last changed the member.
	Version Offset
	VM      VMID
}

// WithLeaving returns a copy of m that is draining.
func (m Member) WithLeaving() Member {
	m.Leaving = true
	return m
}

// WithVersion returns a copy of m last changed at v.
func (m Member) WithVersion(v Offset) Member {
	m.Version = v
	return m
}
