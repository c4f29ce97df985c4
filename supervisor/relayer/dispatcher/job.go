package dispatcher

import (
	"context"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

const (
	// attemptMargin is the time before the deadline below which no attempt is made.
	attemptMargin = 20 * buckthorndyke.Millisecond
	// defaultDeadline bounds a request whose client and route set no time.
	defaultDeadline = 30 * buckthorndyke.Second
	// prefixTokens is the size of a shared beginning of a prompt from which on it
	// matters which runner has read it.
	prefixTokens = 500
	// returnLimit bounds the time after which a client is asked to come back.
	returnLimit = 3 * buckthorndyke.Second
	// returnMost is the part of the time that a client has left for which it waits
	// at most before it comes back, from the platform's description of its clients.
	returnMost = 3
	// returnParts is the part of the time that a client has left after which it is
	// asked to come back if no server is expected.
	returnParts = 4
	// sendLimit bounds the servers that one request is sent to, those that did not
	// run it included.
	sendLimit = 5
	// tellLimit bounds the time in which the task takes a message.
	tellLimit = buckthorndyke.Second
)

// Refusals of a job.
var (
	errCallerGone = buckthorndyke.NewRefusal(buckthorndyke.CodeCallerGone, buckthorndyke.MayHaveRun, "the client has left")
	errNoRouting  = buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun,
		"the configuration is not known yet").WithRetryAfter(retryAfter)
	errNoRoute = buckthorndyke.NewRefusal(buckthorndyke.CodeServiceUnknown, buckthorndyke.NotRun, "no route matches")
	errTimeout = buckthorndyke.NewRefusal(buckthorndyke.CodeDeadline, buckthorndyke.MayHaveRun, "the time of the request is over")
)

// job carries one request.
type job struct {
	*Dispatcher
	// due is the instant at which the request's time is over.
	due buckthorndyke.Millis
	// excluded are the servers that the request does not go to again.
	excluded []buckthorndyke.RunnerID
	// first is the time from the arrival to the first event.
	first buckthorndyke.Millis
	// heard is closed once the server of the attempt has answered, with an event if
	// the answer is a stream.
	heard chan struct{}
	key   buckthorndyke.ModelKey
	// queued is the time that the request has waited for servers.
	queued  buckthorndyke.Millis
	request buckthorndyke.RelayRequest
	route   buckthorndyke.Route
	// runs is the number of servers that may have run the request.
	runs int
	seed uint64
	// sent is the instant at which the attempt began.
	sent buckthorndyke.Millis
	// sends is the number of servers that the request was sent to.
	sends  int
	stream stream
	w      buckthorndyke.RelayWriter
	// trail describes the attempts for the log.
	trail []string
}

// newJob returns a job for r, or a refusal.
func (d *Dispatcher) newJob(ctx context.Context, r buckthorndyke.RelayRequest, w buckthorndyke.RelayWriter) (*job, error) {
	j := &job{Dispatcher: d, request: r, seed: xxhash.Sum64String(string(r.ID)), w: w}
	routing, err := mailer.Ask(ctx, d.box, func(reply mailer.Reply[buckthorndyke.Routing]) message {
		return routingAsked{reply: reply}
	})
	if err != nil {
		return j, errCallerGone
	}
	if routing.Version == 0 {
		return j, errNoRouting
	}
	route, ok := routing.Route(r.Host, r.Path)
	if !ok {
		return j, errNoRoute
	}
	j.route = route
	service, ok := route.TargetFor(j.seed)
	if !ok {
		return j, errNoRoute
	}
	j.key = buckthorndyke.ModelKey{Service: service}
	if s, ok := routing.Services.Get(service); ok && s.Engine != nil {
		j.key.Model, j.key.Adapter = r.Model, r.Adapter
	}
	j.due = r.Arrived + least(r.Deadline, route.Timeout)
	return j, nil
}

// run takes the request to servers until one has answered or the time is over.
func (j *job) run(ctx context.Context) error {
	for {
		retry, err := j.attempt(ctx)
		switch {
		case ctx.Err() != nil:
			return errCallerGone
		case err == nil:
			return nil
		case !retry || j.sends >= sendLimit || j.clock.Now() >= j.due-attemptMargin:
			return j.verdict(err)
		}
	}
}

// admit waits for a server that can take the request.
func (j *job) admit(ctx context.Context) (buckthorndyke.Backend, error) {
	now := j.clock.Now()
	m := admitAsked{
		job:  j,
		load: j.load(),
		query: selector.Query{
			Excluded: j.excluded, Key: j.key, Prefix: j.prefix(), Seed: j.seed + uint64(j.sends),
		},
		patience: newPatience(j.route, j.request.Arrived, j.due),
		reply:    mailer.NewReply[grant](),
		retry:    j.sends > 0,
	}
	if err := j.box.Send(ctx, m); err != nil {
		return buckthorndyke.Backend{}, errCallerGone
	}
	select {
	case g := <-m.reply.Receive():
		j.queued += j.clock.Now() - now
		if g.err != nil {
			return g.backend, j.withReturn(g)
		}
		return g.backend, nil
	case <-ctx.Done():
	}
	j.abandon(ctx, m)
	return buckthorndyke.Backend{}, errCallerGone
}

// abandon takes back a request for a server after the client has left.
func (j *job) abandon(ctx context.Context, m admitAsked) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellLimit.Duration())
	defer cancel()
	_, err := mailer.Ask(ctx, j.box, func(reply mailer.Reply[struct{}]) message {
		return admitLeft{job: j, reply: reply}
	})
	if err != nil {
		return
	}
	select {
	case g := <-m.reply.Receive():
		// The server was granted before the task read that the client has left.
		if g.err == nil {
			j.end(ctx, g.backend, resultNeutral)
		}
	default:
	}
}

// end gives the server's place back.
func (j *job) end(ctx context.Context, backend buckthorndyke.Backend, r result) {
	// The place has to be given back even if the client has left.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellLimit.Duration())
	defer cancel()
	err := j.box.Send(ctx, attemptEnded{key: j.key, load: j.load(), result: r, server: backend.ID})
	if err != nil {
		j.logger.Warn().EmbedObject(reporter.EventDependencyLost).Str("dependency", "dispatcher").Err(err).Send()
	}
}

// load returns what the request adds to a server's load.
func (j *job) load() selector.Load {
	return selector.Load{Requests: 1, Tokens: j.request.PromptTokens}
}

// prefix identifies the part of the prompt that other requests share, or is 0 if
// that is short.
func (j *job) prefix() uint64 {
	parts := j.request.Prompt
	if j.key.Model == "" || len(parts) < 2 {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(string(j.key.Model) + "/" + j.key.Adapter)
	shared := 0
	for _, part := range parts[:len(parts)-1] {
		shared += part.Tokens
		_, _ = d.WriteString("," + part.ID)
	}
	if shared < prefixTokens {
		return 0
	}
	return d.Sum64() | 1
}

// verdict returns err with what is known of the whole request: it has not run
// only if no server may have run it.
func (j *job) verdict(err error) error {
	refusal := buckthorndyke.RefusalOf(err)
	if j.runs > 0 {
		return refusal.WithVerdict(buckthorndyke.MayHaveRun)
	}
	return refusal
}

// withReturn returns a refusal that asks the client to come back once a server is
// expected, while enough of its time is left.
func (j *job) withReturn(g grant) error {
	now := j.clock.Now()
	left := j.due - now
	wait := left / returnParts
	if g.expected > now {
		wait = min(g.expected-now, left/returnMost)
	}
	return buckthorndyke.RefusalOf(g.err).WithRetryAfter(min(max(wait, retryAfter), returnLimit))
}

// least returns the shortest of the times that are set.
func least(times ...buckthorndyke.Millis) buckthorndyke.Millis {
	out := defaultDeadline
	for _, t := range times {
		if t > 0 {
			out = min(out, t)
		}
	}
	return out
}

// trailText returns the attempts in words.
func (j *job) trailText() string {
	return strings.Join(j.trail, "; ")
}
