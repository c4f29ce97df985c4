// Package standin provides in-memory fakes of the platform's services, of runners
// and of plain services, for tests and the demo. Each fake is a task that owns its
// state; faults are injected by message. Production code never imports it.
package standin
