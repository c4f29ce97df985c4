package dispatcher

import (
	"context"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/authenticator"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

const (
	// attemptMargin is the time before the deadline within which no attempt is started.
	attemptMargin = 20 * buckthorndyke.Millisecond
	// defaultDeadline bounds a request when neither its client nor its route limits it.
	defaultDeadline = 30 * buckthorndyke.Second
	// minPrefixTokens is the size from which on a shared prompt prefix is worth sending
	// to a runner that has processed it before.
	minPrefixTokens = 500
	// maxRetryAfter bounds the time after which a client is asked to retry if it is not
	// known when a server will be available.
	maxRetryAfter = 3 * buckthorndyke.Second
	// expectedDivisor divides the time that a client has left: clients wait for at most
	// that part of it before they retry, as the platform documents it.
	expectedDivisor = 3
	// unexpectedDivisor divides the time that a client has left: after that part of it
	// the client is asked to retry if no server is expected to become available.
	unexpectedDivisor = 4
	// maxAttempts bounds the servers that one request is sent to, including those that
	// did not run it.
	maxAttempts = 5
	// identifyTimeout bounds how long a request waits until the task has told the
	// configuration, and confirmed it for an unknown key. A task that takes longer fails again
	// and again, and other VMs can serve the request.
	identifyTimeout = authenticator.MaxWait + 2*buckthorndyke.Second
	// sendTimeout bounds how long a message to the task may wait for a place in its
	// mailbox.
	sendTimeout = buckthorndyke.Second
	// undecidedMargin and undecidedDivisor determine how long before its deadline a request
	// stops waiting for a server: undecidedMargin, or that part of its time if that is less.
	// The limits of the task are shorter (responseMargin, plainPermille).
	undecidedMargin  = responseMargin / 2
	undecidedDivisor = 5
)

// Refusals by a job.
var (
	errClientGone = buckthorndyke.NewRefusal(buckthorndyke.CodeCallerGone, buckthorndyke.MayHaveRun, "the client has disconnected")
	errNoRouting  = buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun,
		"the configuration has not been read yet").WithRetryAfter(minRetryAfter)
	errNoRoute   = buckthorndyke.NewRefusal(buckthorndyke.CodeServiceUnknown, buckthorndyke.NotRun, "no route matches the host and path")
	errTooLate   = buckthorndyke.NewRefusal(buckthorndyke.CodeDeadline, buckthorndyke.NotRun, "the deadline of the request passed before it could be sent")
	errRestarted = buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun,
		"the assignment of servers has failed and starts again").WithRetryAfter(minRetryAfter)
	errUndecided = buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun,
		"the request was not assigned to a server in time").WithRetryAfter(minRetryAfter)
	errTimeout = buckthorndyke.NewRefusal(buckthorndyke.CodeDeadline, buckthorndyke.MayHaveRun, "the deadline of the request has passed")
)

// job handles one request.
type job struct {
	*Dispatcher
	// answer is what the client has been sent.
	answer answer
	// attempts is the number of times that the request was sent to a server.
	attempts int
	// attemptStart is the instant at which the attempt began.
	attemptStart buckthorndyke.Millis
	// begun is set once the server of the attempt has begun to answer.
	begun bool
	// deadline is the instant by which the request has to be finished.
	deadline buckthorndyke.Millis
	// excluded are the servers that the request is not sent to again.
	excluded []buckthorndyke.RunnerID
	// executions is the number of attempts in which a server may have run the request.
	executions int
	// fingerprints identify what the request holds, the most specific one last.
	fingerprints []buckthorndyke.Fingerprint
	// firstEvent is the time from the request's arrival to the first event.
	firstEvent buckthorndyke.Millis
	// firstTook is the time from the start of the attempt to its first event, or 0.
	firstTook buckthorndyke.Millis
	// heard is set once the server of the attempt has sent an event.
	heard bool
	// identity is what is known of who sends the request.
	identity authenticator.Outcome
	key      buckthorndyke.ModelKey
	// mayHaveCrashed is set if the server of the attempt broke the connection before it
	// had begun to answer.
	mayHaveCrashed bool
	// priority is that of the caller, or that of the route. 0 is the most urgent one.
	priority int
	// queued is the total time that the request has waited for a server.
	queued  buckthorndyke.Millis
	request buckthorndyke.RelayRequest
	// responded is closed once the server of the attempt has responded; for a stream,
	// with its first event.
	responded chan struct{}
	route     buckthorndyke.Route
	// routingState is the configuration by which the request was identified.
	routingState routingState
	seed         uint64
	// sent describes the request at the server of the attempt.
	sent selector.Sent
	// taken is what the attempt still adds to the load of its server.
	taken selector.Load
	// yields is set if the server should read the prompt after shorter ones.
	yields bool
	// trail describes the attempts for the log.
	trail []string
}

// newJob returns a job for r. The job is not nil if there is an error.
func (d *Dispatcher) newJob(ctx context.Context, r buckthorndyke.RelayRequest, w buckthorndyke.RelayWriter) (*job, error) {
	j := &job{Dispatcher: d, request: r, answer: answer{w: w}, seed: xxhash.Sum64String(string(r.ID))}
	left := r.Arrived + timeLimit(r.Deadline) - d.clock.Now()
	limit, cancel := undecidedAfter(ctx, min(max(left-attemptMargin/2, undecidedMargin), identifyTimeout))
	defer cancel()
	state, err := mailer.Ask(limit, d.box, func(reply mailer.Reply[routingState]) message {
		return routingRequested{reply: reply}
	})
	if err != nil {
		return j, endOf(limit)
	}
	if state.routing.Version == 0 {
		return j, errNoRouting
	}
	if state, err = j.identify(limit, state); err != nil {
		return j, err
	}
	routing := state.routing
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
	j.fingerprints = r.Fingerprints()
	j.deadline = r.Arrived + timeLimit(r.Deadline, route.Timeout)
	return j, nil
}

// run sends the request to servers until one has responded or no attempt is left.
func (j *job) run(ctx context.Context) error {
	if j.clock.Now() >= j.deadline-attemptMargin {
		return errTooLate
	}
	for {
		retry, err := j.attempt(ctx)
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return j.withVerdict(endOf(ctx))
		case !retry || j.attempts >= maxAttempts || j.clock.Now() >= j.deadline-attemptMargin:
			return j.withVerdict(err)
		}
	}
}

// acquireServer waits until the task assigns a server to the request. It asks again if the
// run of the task that had the request has failed.
func (j *job) acquireServer(ctx context.Context) (buckthorndyke.Backend, error) {
	began := j.clock.Now()
	j.attemptStart, j.firstTook = 0, 0
	left := j.deadline - began
	ctx, cancel := undecidedAfter(ctx, left-min(undecidedMargin, left/undecidedDivisor))
	defer cancel()
	a := admission{lost: true}
	for a.lost {
		var err error
		if a, err = j.requestAdmission(ctx); err != nil {
			return buckthorndyke.Backend{}, err
		}
	}
	j.queued += j.clock.Now() - began
	if a.err != nil {
		return a.backend, j.withRetryAfter(a)
	}
	j.sent, j.taken, j.yields = a.sent, a.load, a.yields
	return a.backend, nil
}

// requestAdmission asks the task for a server and waits for its reply until ctx ends.
func (j *job) requestAdmission(ctx context.Context) (admission, error) {
	m := admissionRequested{
		job:    j,
		load:   j.load(),
		query:  j.query(),
		limits: newWaitLimits(j.route, j.request.Arrived, j.deadline),
		reply:  mailer.NewReply[admission](),
		retry:  j.attempts > 0,
	}
	if err := j.box.Send(ctx, m); err != nil {
		return admission{}, endOf(ctx)
	}
	select {
	case a := <-m.reply.Receive():
		return a, nil
	case <-ctx.Done():
	}
	j.tell(ctx, admissionCancelled{job: j, reply: m.reply})
	return admission{}, endOf(ctx)
}

// endOf returns why the context of a request has ended.
func endOf(ctx context.Context) error {
	for _, err := range []error{buckthorndyke.ErrStopping, errUndecided} {
		if errors.Is(context.Cause(ctx), err) {
			return err
		}
	}
	return errClientGone
}

// load returns what the request adds to a server's load.
func (j *job) load() selector.Load {
	return selector.Load{Requests: 1, Tokens: j.request.PromptTokens}
}

// promptPrefix returns a hash that identifies the part of the prompt that other requests
// share, and the number of its tokens, or 0 if that has fewer than minPrefixTokens.
func (j *job) promptPrefix() (prefix uint64, tokens int) {
	parts := j.request.Prompt
	if j.key.Model == "" || len(parts) < 2 {
		return 0, 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(string(j.key.Model) + "/" + j.key.Adapter)
	shared := 0
	for _, part := range parts[:len(parts)-1] {
		shared += part.Tokens
		_, _ = d.WriteString("," + part.ID)
	}
	if shared < minPrefixTokens {
		return 0, 0
	}
	return d.Sum64() | 1, shared
}

// releaseServer reports the result of an attempt to the task, which no longer counts it as
// load of the server.
func (j *job) releaseServer(ctx context.Context, backend buckthorndyke.Backend, r result) {
	m := attemptEnded{backend: backend, fingerprints: j.fingerprints, key: j.key, load: j.taken, result: r}
	m.first, m.route, m.sent = j.firstTook, j.route.Name, j.sent
	if j.attemptStart > 0 {
		m.duration = j.clock.Now() - j.attemptStart
		if j.route.Kind != buckthorndyke.RouteStream {
			m.first = m.duration
		}
	}
	m.begun, m.broken = j.begun, r == resultFailed && j.mayHaveCrashed
	j.tell(ctx, m)
}

// tell sends m to the task, also if the client has disconnected.
func (j *job) tell(ctx context.Context, m message) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout.Duration())
	defer cancel()
	if err := j.box.Send(ctx, m); err != nil {
		j.logger.Warn().EmbedObject(reporter.EventDependencyLost).Str("dependency", "dispatcher").Err(err).Send()
	}
}

// trailText returns the description of the attempts for the log.
func (j *job) trailText() string {
	return strings.Join(j.trail, "; ")
}

// undecidedAfter returns a context that ends when the request has waited for the task for the
// given time.
func undecidedAfter(ctx context.Context, wait buckthorndyke.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(ctx, wait.Duration(), errUndecided)
}

// withRetryAfter returns the refusal in a with the time after which the client should
// retry: when a server is expected to be available, but early enough before its deadline.
func (j *job) withRetryAfter(a admission) error {
	if a.final {
		return a.err
	}
	now := j.clock.Now()
	return buckthorndyke.RefusalOf(a.err).WithRetryAfter(retryAfterOf(j.seed, j.deadline-now, a.expected-now))
}

// timeLimit returns the shortest of the given limits, of which those of 0 or less do not
// exist, or defaultDeadline if none exists.
func timeLimit(limits ...buckthorndyke.Millis) buckthorndyke.Millis {
	var out buckthorndyke.Millis
	for _, limit := range limits {
		if limit > 0 && (out == 0 || limit < out) {
			out = limit
		}
	}
	if out == 0 {
		return defaultDeadline
	}
	return out
}

// withVerdict returns err with the verdict on the whole request: it is NotRun only if no
// attempt may have run the request.
func (j *job) withVerdict(err error) error {
	refusal := buckthorndyke.RefusalOf(err)
	if j.executions > 0 {
		return refusal.WithVerdict(buckthorndyke.MayHaveRun)
	}
	return refusal
}
