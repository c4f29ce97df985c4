package dispatcher

import (
	"context"
	"slices"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/authenticator"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

const (
	// confirmInterval is the time between two requests for a confirmation of the
	// configuration's version, so that clients with unknown keys cause at most two reads
	// per second on a VM.
	confirmInterval = 500 * buckthorndyke.Millisecond
	// maxUnconfirmed bounds the requests that wait for a confirmation. Others are refused
	// at once.
	maxUnconfirmed = 1024
)

// Refusals of requests without the key of a caller.
var (
	errKeyUnknown = buckthorndyke.NewRefusal(buckthorndyke.CodeUnauthenticated, buckthorndyke.NotRun,
		"the request has no key of a caller; expected the header field Authorization: Bearer KEY")
	errKeyUnconfirmed = buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun,
		"it is not known yet whether the key is one of a caller")
)

// routingState is the configuration of a VM and what the VM knows about its age.
type routingState struct {
	// confirmedAt is the last instant at which the configuration was known to be the
	// newest, or 0.
	confirmedAt buckthorndyke.Millis
	formerKeys  authenticator.FormerKeys
	routing     buckthorndyke.Routing
}

type (
	// confirmationRequested asks for a newer state of the configuration than known.
	confirmationRequested struct {
		known routingState
		reply mailer.Reply[routingState]
		// until is the instant at which the reply is due in any case.
		until buckthorndyke.Millis
	}

	// routingRequested asks for the configuration.
	routingRequested struct {
		reply mailer.Reply[routingState]
	}
)

func (m confirmationRequested) apply(t *task) { t.awaitConfirmation(m) }
func (m routingRequested) apply(t *task)      { m.reply.Answer(t.routingState()) }

// identify finds out who sends the request, and refuses it if that has to be known and is
// not. An unknown key is refused for good only once the configuration is confirmed to be the
// newest. It returns the configuration by which the request is identified.
func (j *job) identify(ctx context.Context, state routingState) (routingState, error) {
	until := min(j.clock.Now()+authenticator.MaxWait, j.request.Arrived+timeLimit(j.request.Deadline)-attemptMargin)
	for {
		now := j.clock.Now()
		// Requests that no route matches need a key, so that a client without one does not
		// learn which routes exist.
		route, _ := state.routing.Route(j.request.Host, j.request.Path)
		knowledge := authenticator.Knowledge{Callers: state.routing.Callers, ConfirmedAt: state.confirmedAt}
		identity := knowledge.Identify(j.request.Credential, route.Public, now)
		j.routingState, j.identity = state, identity.Outcome
		switch identity.Outcome {
		case authenticator.Unchecked:
			j.request, j.priority = j.request.WithCredentialForwarded(), route.Priority
			return state, nil
		case authenticator.Known:
			j.request, j.priority = j.request.WithCaller(identity.Caller.ID), identity.Caller.PriorityOn(route)
			return state, nil
		case authenticator.Nameless:
			j.request, j.priority = j.request.WithCaller(""), route.Priority
			return state, nil
		case authenticator.Unknown:
			return state, errKeyUnknown
		}
		if now >= until {
			return state, errKeyUnconfirmed.WithRetryAfter(j.spreadRetry())
		}
		next, err := mailer.Ask(ctx, j.box, func(reply mailer.Reply[routingState]) message {
			return confirmationRequested{known: state, reply: reply, until: until}
		})
		if err != nil {
			return state, endOf(ctx)
		}
		if next.routing.Version == state.routing.Version && next.confirmedAt == state.confirmedAt {
			until = now
		}
		state = next
	}
}

// logIdentity adds to the line about a request who has sent it, and, if its key was refused,
// the version and the age of the configuration. It adds nothing if there are no callers.
func (j *job) logIdentity(event *zerolog.Event) {
	routing := j.routingState.routing
	if !routing.Callers.Required() {
		return
	}
	event.Str("caller", string(j.request.Caller))
	if j.identity == authenticator.Unknown || j.identity == authenticator.Unconfirmed {
		_, hasKey := j.request.Credential.Digest()
		event.Str("identity", string(j.identity)).Bool("has-key", hasKey).Int64("version", routing.Version)
		if former, ok := j.routingState.formerKeys.HolderOf(j.request.Credential); ok {
			event.Str("former-caller", string(former.Caller)).Int64("removed-in", former.Version)
		}
		if at := j.routingState.confirmedAt; at > 0 {
			event.Int64("confirmed-ms-ago", int64(j.clock.Now()-at))
		}
	}
}

// spreadRetry returns a time after which the client is asked to retry. Those of different
// requests differ, so that clients do not return together.
func (j *job) spreadRetry() buckthorndyke.Millis {
	return minRetryAfter + buckthorndyke.Millis(j.seed%uint64(minRetryAfter))
}

// awaitConfirmation replies to m once the state of the configuration is newer, and has it
// confirmed.
func (t *task) awaitConfirmation(m confirmationRequested) {
	if t.routingState().newerThan(m.known) || len(t.unconfirmed) >= maxUnconfirmed {
		m.reply.Answer(t.routingState())
		return
	}
	t.unconfirmed = append(t.unconfirmed, m)
	t.requestConfirmation()
}

// answerUnconfirmed replies to the requests that wait for a confirmation if the state of the
// configuration is newer than the one that they know, or their time has passed.
func (t *task) answerUnconfirmed() {
	now, state := t.clock.Now(), t.routingState()
	t.unconfirmed = slices.DeleteFunc(t.unconfirmed, func(m confirmationRequested) bool {
		if now < m.until && !state.newerThan(m.known) {
			return false
		}
		m.reply.Answer(state)
		return true
	})
	if len(t.unconfirmed) > 0 {
		t.requestConfirmation()
	}
}

// applyRouting applies a configuration. An older one than the current one is ignored, since
// it may contain keys that were removed.
func (t *task) applyRouting(r buckthorndyke.Routing) {
	if r.Version > 0 && r.Version < t.routing.Version {
		return
	}
	t.formerKeys = t.formerKeys.WithChange(t.routing.Callers, r.Callers, r.Version)
	t.routing = r
	t.dropOldDurations()
	t.applyCallers(r.Callers)
	t.answerUnconfirmed()
}

// applySeenRouting applies that this VM or the leader has read a version of the
// configuration.
func (t *task) applySeenRouting(seen buckthorndyke.SeenVersion) {
	if seen.At >= t.seenRouting.At && seen.VersionTag != 0 {
		t.seenRouting = seen
		t.answerUnconfirmed()
	}
}

// requestConfirmation asks for a read of the configuration, unless that was done recently.
func (t *task) requestConfirmation() {
	now := t.clock.Now()
	if t.refreshes == nil || t.confirmationAskedAt > 0 && now < t.confirmationAskedAt+confirmInterval {
		return
	}
	t.confirmationAskedAt = now
	// It fails only if the run ends.
	_ = t.refreshes.Publish(t.runCtx, now)
}

// routingState returns the configuration with its age. What is seen last counts: if that is
// another version, the current one may not be the newest.
func (t *task) routingState() routingState {
	out := routingState{formerKeys: t.formerKeys, routing: t.routing}
	if t.seenRouting.VersionTag == t.routing.VersionTag() {
		out.confirmedAt = t.seenRouting.At
	}
	return out
}

// unconfirmedWake returns the time until a request has waited too long for a confirmation or
// another one may be asked for, or limit if that is shorter.
func (t *task) unconfirmedWake(limit buckthorndyke.Millis) buckthorndyke.Millis {
	now := t.clock.Now()
	for _, m := range t.unconfirmed {
		limit = min(limit, max(m.until-now, 1))
	}
	if len(t.unconfirmed) > 0 {
		limit = min(limit, max(t.confirmationAskedAt+confirmInterval-now, 1))
	}
	return limit
}

// newerThan reports whether s is a newer state than other.
func (s routingState) newerThan(other routingState) bool {
	return s.routing.Version > other.routing.Version || s.confirmedAt > other.confirmedAt
}
