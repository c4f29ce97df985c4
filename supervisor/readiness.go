package supervisor

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// readiness is the task that knows whether this process takes requests. It
// implements buckthorndyke.Readiness.
type readiness struct {
	asks     *mailer.Mailbox[mailer.Reply[error]]
	clock    buckthorndyke.Clock
	draining *mailer.Mailbox[struct{}]
	follower buckthorndyke.Follower
	liveness buckthorndyke.LivenessReporter
	// staleness is the time without contact to the log and all peers after which
	// the process is not ready.
	staleness buckthorndyke.Millis
}

// newReadiness returns a readiness that is not ready until it has heard from
// the follower.
func newReadiness(
	follower buckthorndyke.Follower, liveness buckthorndyke.LivenessReporter,
	clock buckthorndyke.Clock, staleness buckthorndyke.Millis,
) *readiness {
	return &readiness{
		asks:      mailer.NewMailbox[mailer.Reply[error]](),
		clock:     clock,
		draining:  mailer.NewMailbox[struct{}](mailer.WithCapacity(1)),
		follower:  follower,
		liveness:  liveness,
		staleness: staleness,
	}
}

// Drain makes the process not ready for good.
func (r *readiness) Drain() {
	r.draining.TrySend(struct{}{})
}

// Ready implements buckthorndyke.Readiness.
func (r *readiness) Ready(ctx context.Context) error {
	answer, err := mailer.Ask(ctx, r.asks, func(reply mailer.Reply[error]) mailer.Reply[error] { return reply })
	if err != nil {
		return notReady("the process does not answer: " + err.Error())
	}
	return answer
}

// Serve implements suture.Service.
func (r *readiness) Serve(ctx context.Context) error {
	progress, liveness := r.follower.Subscribe(ctx), r.liveness.Subscribe(ctx)
	v := view{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case v.progress = <-progress:
		case v.liveness = <-liveness:
		case <-r.draining.Receive():
			v.draining = true
		case reply := <-r.asks.Receive():
			reply.Answer(v.refusal(r.clock.Now(), r.staleness))
		}
	}
}

// view is what readiness depends on.
type view struct {
	draining bool
	liveness buckthorndyke.Liveness
	progress buckthorndyke.Progress
}

// refusal returns why the process is not ready, or nil.
func (v view) refusal(now, staleness buckthorndyke.Millis) error {
	contact := max(v.progress.Fresh, v.liveness.Contact)
	switch {
	case v.draining:
		return buckthorndyke.NewRefusal(buckthorndyke.CodeDraining, buckthorndyke.NotRun, "the VM is leaving")
	case v.liveness.Reclaimed:
		return buckthorndyke.NewRefusal(buckthorndyke.CodeDraining, buckthorndyke.NotRun, "the platform reclaims the VM")
	case !v.progress.AtTail:
		return notReady("the state is not at the log's tail yet")
	case now-contact > staleness:
		return buckthorndyke.NewRefusal(buckthorndyke.CodeStale, buckthorndyke.NotRun, "neither the log nor a peer answers")
	default:
		return nil
	}
}

func notReady(message string) error {
	return buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun, message)
}
