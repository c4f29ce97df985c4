// Package standin holds small stand-ins of the platform's services, of runners
// and of plain services, for tests and the demo. Each is a task that owns its
// state; faults are set by message. Serving code never imports it.
package standin
