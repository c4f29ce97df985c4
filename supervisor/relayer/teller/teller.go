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

// wantInterval is the shortest time between two attempts to get the same version of the
// configuration for other VMs.
const wantInterval = buckthorndyke.Second

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
	// encoder encodes copies of the configuration, or is nil if there are none.
	encoder buckthorndyke.RoutingEncoder
	lists   *mailer.Feed[buckthorndyke.Backends]
	// refreshes gets the instants at which a VM has asked for a newer list than this one
	// has.
	refreshes    *mailer.Feed[buckthorndyke.Millis]
	requests     *mailer.Mailbox[mailer.Reply[snapshotResult]]
	routingsAsks *mailer.Mailbox[routingAsked]
	routings     *mailer.Feed[buckthorndyke.Routing]
	// wants gets the versions of the configuration that a VM has asked for and this one does
	// not have.
	wants *mailer.Feed[int64]
}

// Option configures a Teller.
type Option func(*Teller)

// WithRoutingCopies makes the task give copies of the configuration, encoded by encoder. It
// publishes to wants when another VM needs a newer version.
func WithRoutingCopies(encoder buckthorndyke.RoutingEncoder, wants *mailer.Feed[int64]) Option {
	return func(t *Teller) { t.encoder, t.wants = encoder, wants }
}

// New returns a teller that subscribes to the configuration and the server list. It
// publishes to refreshes when another VM needs a newer list.
func New(
	routings *mailer.Feed[buckthorndyke.Routing], lists *mailer.Feed[buckthorndyke.Backends], refreshes *mailer.Feed[buckthorndyke.Millis],
	clock buckthorndyke.Clock, opts ...Option,
) *Teller {
	t := &Teller{
		asks: mailer.NewMailbox[listAsked](), clock: clock, lists: lists, refreshes: refreshes,
		requests: mailer.NewMailbox[mailer.Reply[snapshotResult]](), routings: routings, routingsAsks: mailer.NewMailbox[routingAsked](),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
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

// RoutingCopy returns the VM's copy of the configuration, or the address of a VM that gives
// copies in its place.
func (t *Teller) RoutingCopy(ctx context.Context, q buckthorndyke.RoutingQuery) (buckthorndyke.RoutingCopy, error) {
	if t.encoder == nil {
		return buckthorndyke.RoutingCopy{}, errIncomplete
	}
	return mailer.Ask(ctx, t.routingsAsks, func(reply mailer.Reply[buckthorndyke.RoutingCopy]) routingAsked {
		return routingAsked{query: q, reply: reply}
	})
}

// Serve implements suture.Service.
func (t *Teller) Serve(ctx context.Context) error {
	routings, lists := t.routings.Subscribe(ctx), t.lists.Subscribe(ctx)
	var copies copyState
	routingCopies := routingCopies{encoder: t.encoder}
	var current buckthorndyke.DirectorySnapshot
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case current.Routing = <-routings:
			routingCopies.apply(current.Routing)
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
		case m := <-t.routingsAsks.Receive():
			now := t.clock.Now()
			reply, err := routingCopies.answer(m.query, now)
			if err != nil {
				return err
			}
			m.reply.Answer(reply)
			if routingCopies.wants(m.query, now) {
				if err := t.wants.Publish(ctx, m.query.Version); err != nil {
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
