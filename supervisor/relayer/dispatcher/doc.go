// Package dispatcher takes relayed requests to backend servers. Its task holds
// what the VM knows of the servers and decides by the package selector; each
// request is carried by a goroutine that asks the task for a server and reports
// back how it went.
package dispatcher
