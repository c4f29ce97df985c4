// Package teller gives other entry VMs this VM's copy of the platform's directory.
package teller

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// errIncomplete means that the VM does not have all records yet.
var errIncomplete = buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun, "the directory has not been read yet")

// snapshotResult is the reply to a request for a snapshot.
type snapshotResult struct {
	err      error
	snapshot buckthorndyke.DirectorySnapshot
}

// Teller is the task that keeps the VM's copy of the directory.
type Teller struct {
	clock    buckthorndyke.Clock
	lists    *mailer.Feed[buckthorndyke.Backends]
	requests *mailer.Mailbox[mailer.Reply[snapshotResult]]
	routings *mailer.Feed[buckthorndyke.Routing]
}

// New returns a teller that subscribes to the configuration and the server list.
func New(
	routings *mailer.Feed[buckthorndyke.Routing], lists *mailer.Feed[buckthorndyke.Backends], clock buckthorndyke.Clock,
) *Teller {
	return &Teller{clock: clock, lists: lists, requests: mailer.NewMailbox[mailer.Reply[snapshotResult]](), routings: routings}
}

// DirectorySnapshot returns the VM's copy of the directory. It fails until both records
// are known.
func (t *Teller) DirectorySnapshot(ctx context.Context) (buckthorndyke.DirectorySnapshot, error) {
	out, err := mailer.Ask(ctx, t.requests, func(reply mailer.Reply[snapshotResult]) mailer.Reply[snapshotResult] { return reply })
	if err != nil {
		return buckthorndyke.DirectorySnapshot{}, err
	}
	return out.snapshot, out.err
}

// Serve implements suture.Service.
func (t *Teller) Serve(ctx context.Context) error {
	routings, lists := t.routings.Subscribe(ctx), t.lists.Subscribe(ctx)
	var current buckthorndyke.DirectorySnapshot
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case current.Routing = <-routings:
		case current.List = <-lists:
		case reply := <-t.requests.Receive():
			if current.Routing.Version == 0 || current.List.Servers.Len() == 0 {
				reply.Answer(snapshotResult{err: errIncomplete})
				continue
			}
			snapshot := current
			snapshot.Age = t.clock.Now() - current.List.At
			reply.Answer(snapshotResult{snapshot: snapshot})
		}
	}
}
