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

// refreshInterval is the shortest time between two requests for a newer list.
const refreshInterval = 100 * buckthorndyke.Millisecond

// listAsked asks for a copy of the list of servers.
type listAsked struct {
	query buckthorndyke.ListQuery
	reply mailer.Reply[buckthorndyke.ListCopy]
}

// Teller is the task that keeps the VM's copy of the directory.
type Teller struct {
	asks  *mailer.Mailbox[listAsked]
	clock buckthorndyke.Clock
	lists *mailer.Feed[buckthorndyke.Backends]
	// refreshes gets the instants at which a VM has asked for a newer list than this one
	// has.
	refreshes *mailer.Feed[buckthorndyke.Millis]
	requests  *mailer.Mailbox[mailer.Reply[snapshotResult]]
	routings  *mailer.Feed[buckthorndyke.Routing]
}

// New returns a teller that subscribes to the configuration and the server list. It
// publishes to refreshes when another VM needs a newer list.
func New(
	routings *mailer.Feed[buckthorndyke.Routing], lists *mailer.Feed[buckthorndyke.Backends], refreshes *mailer.Feed[buckthorndyke.Millis],
	clock buckthorndyke.Clock,
) *Teller {
	return &Teller{asks: mailer.NewMailbox[listAsked](), clock: clock, lists: lists, refreshes: refreshes, requests: mailer.NewMailbox[mailer.Reply[snapshotResult]](), routings: routings}
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

// ListCopy returns the VM's copy of the list of servers, or the address of a VM that
// gives copies in its place.
func (t *Teller) ListCopy(ctx context.Context, q buckthorndyke.ListQuery) (buckthorndyke.ListCopy, error) {
	return mailer.Ask(ctx, t.asks, func(reply mailer.Reply[buckthorndyke.ListCopy]) listAsked {
		return listAsked{query: q, reply: reply}
	})
}

// Serve implements suture.Service.
func (t *Teller) Serve(ctx context.Context) error {
	routings, lists := t.routings.Subscribe(ctx), t.lists.Subscribe(ctx)
	var copies copyState
	var current buckthorndyke.DirectorySnapshot
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case current.Routing = <-routings:
		case current.List = <-lists:
			copies.list, copies.versionTag = current.List, current.List.VersionTag()
		case m := <-t.asks.Receive():
			now := t.clock.Now()
			reply := copies.answer(m.query, now)
			m.reply.Answer(reply)
			if reply.VersionTag == 0 && reply.Ask == "" && !reply.ReadDirectory && now >= copies.refreshedAt+refreshInterval {
				copies.refreshedAt = now
				if err := t.refreshes.Publish(ctx, now); err != nil {
					return err
				}
			}
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
