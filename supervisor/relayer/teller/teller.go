// Package teller tells other entry VMs what this one knows of the platform's
// records.
package teller

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// errIncomplete means that the VM lacks a record itself.
var errIncomplete = buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun, "the records are not known yet")

// snapshotResult is the answer to a question.
type snapshotResult struct {
	err      error
	snapshot buckthorndyke.DirectorySnapshot
}

// Teller is the task that keeps what the VM knows.
type Teller struct {
	clock    buckthorndyke.Clock
	lists    *mailer.Feed[buckthorndyke.Backends]
	requests *mailer.Mailbox[mailer.Reply[snapshotResult]]
	routings *mailer.Feed[buckthorndyke.Routing]
}

// New returns a teller that follows the two records.
func New(
	routings *mailer.Feed[buckthorndyke.Routing], lists *mailer.Feed[buckthorndyke.Backends], clock buckthorndyke.Clock,
) *Teller {
	return &Teller{requests: mailer.NewMailbox[mailer.Reply[snapshotResult]](), clock: clock, lists: lists, routings: routings}
}

// DirectorySnapshot returns what the VM knows. It fails while a record is not known.
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
	var known buckthorndyke.DirectorySnapshot
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case known.Routing = <-routings:
		case known.List = <-lists:
		case reply := <-t.requests.Receive():
			if known.Routing.Version == 0 || known.List.Servers.Len() == 0 {
				reply.Answer(snapshotResult{err: errIncomplete})
				continue
			}
			now := known
			now.Age = t.clock.Now() - known.List.At
			reply.Answer(snapshotResult{snapshot: now})
		}
	}
}
