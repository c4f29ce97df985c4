package buckthorndyke

// Self identifies this process, as given by its settings.
type Self struct {
	Domain      DomainID
	Incarnation Incarnation
	// PeerAddress is the IP address and port at which peers reach this VM.
	PeerAddress string
	VM          VMID
}
