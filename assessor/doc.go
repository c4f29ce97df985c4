// Package assessor judges backend servers by what the requests of all entry VMs
// have seen of them. It knows no socket, codec or clock.
package assessor
