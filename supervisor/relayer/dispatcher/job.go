package dispatcher

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

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
	// stallLeast and stallTargets bound how long a server may stay silent before other
	// requests avoid it: most are served within their target.
	stallLeast   = 700 * buckthorndyke.Millisecond
	stallTargets = 2
	// tellLimit bounds the time in which the task takes a message.
	tellLimit = buckthorndyke.Second
	// urgencyLimit is the least urgency that an engine knows.
	urgencyLimit = 9
	// urgencyStep is the distance in urgency between two priorities.
	urgencyStep = 2
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

// attempt takes the request to one server. It reports whether another attempt
// may be made after an error.
func (j *job) attempt(ctx context.Context) (bool, error) {
	backend, err := j.admit(ctx)
	if err != nil {
		return false, err
	}
	j.sends++
	limit, cancel := context.WithTimeoutCause(ctx, max(j.due-j.clock.Now(), 1).Duration(), errTimeout)
	defer cancel()
	j.heard, j.sent = make(chan struct{}), j.clock.Now()
	go j.watchSilence(limit, backend, j.heard)
	answer, err := j.pool.Dispatch(limit, buckthorndyke.Dispatch{
		Backend:  backend,
		Request:  j.request,
		TimeLeft: j.due - j.clock.Now(),
		Urgency:  min(j.route.Priority*urgencyStep, urgencyLimit),
	})
	if err != nil {
		return j.failed(ctx, backend, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if j.route.Kind != buckthorndyke.RouteStream {
		close(j.heard)
	}
	return j.answered(limit, backend, answer)
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

// answered handles the beginning of a server's answer.
func (j *job) answered(ctx context.Context, backend buckthorndyke.Backend, a buckthorndyke.DispatchAnswer) (bool, error) {
	switch {
	case a.NotRun:
		j.note(backend, "not run %d", a.Status)
		j.end(ctx, backend, resultNotRunOf(j.key, a.Status))
		if j.key.Model == "" {
			j.excluded = append(j.excluded, backend.ID)
		}
		return true, buckthorndyke.NewRefusal(buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun,
			"the server did not run the request").WithRetryAfter(retryAfter)
	case !a.Sealed && (a.Status < http.StatusMultipleChoices || promises(a.Status)):
		return j.failed(ctx, backend, errors.Newf("the server answered %d without a signature", a.Status))
	case a.Status >= http.StatusInternalServerError && j.route.Kind == buckthorndyke.RouteSafe && j.runs+1 < j.route.Attempts:
		j.note(backend, "status %d", a.Status)
		j.runs++
		j.end(ctx, backend, resultFaulty)
		j.excluded = append(j.excluded, backend.ID)
		return true, buckthorndyke.NewRefusal(buckthorndyke.CodeServiceUnavailable, buckthorndyke.MayHaveRun,
			"the server failed to serve the request")
	case j.route.Kind == buckthorndyke.RouteStream && a.Status < http.StatusMultipleChoices:
		return j.pass(ctx, backend, a)
	default:
		return j.copyWhole(ctx, backend, a)
	}
}

// copyWhole hands on an answer once it has been read to its end.
func (j *job) copyWhole(ctx context.Context, backend buckthorndyke.Backend, a buckthorndyke.DispatchAnswer) (bool, error) {
	body, err := readAll(a.Body)
	if err != nil {
		return j.failed(ctx, backend, err)
	}
	j.note(backend, "status %d", a.Status)
	j.runs++
	j.end(ctx, backend, resultOf(a.Status))
	a.Header.Set("Content-Length", strconv.Itoa(len(body)))
	if err := j.w.Begin(a.Status, a.Header); err != nil {
		return false, errCallerGone
	}
	if err := j.w.Write(body); err != nil {
		return false, errCallerGone
	}
	return false, nil
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

// failed handles an attempt that ended without an answer.
func (j *job) failed(ctx context.Context, backend buckthorndyke.Backend, err error) (bool, error) {
	if errors.Is(err, errTimeout) || errors.Is(err, context.Canceled) {
		j.note(backend, "ended by us")
		j.end(ctx, backend, j.resultEnded())
		j.runs++
		return false, errTimeout
	}
	j.note(backend, "failed: %v", err)
	j.end(ctx, backend, resultFailed)
	j.excluded = append(j.excluded, backend.ID)
	verdict := buckthorndyke.VerdictOf(err)
	refusal := buckthorndyke.NewRefusal(buckthorndyke.CodeServiceUnavailable, verdict, "the server did not answer")
	if verdict.RetryIsSafe() {
		return true, refusal.WithRetryAfter(retryAfter)
	}
	j.runs++
	return j.mayRunAgain(), refusal
}

// load returns what the request adds to a server's load.
func (j *job) load() selector.Load {
	return selector.Load{Requests: 1, Tokens: j.request.PromptTokens}
}

// resultEnded returns what an attempt that this VM ends says of its server: one that
// has stayed silent for long fails its requests.
func (j *job) resultEnded() result {
	select {
	case <-j.heard:
		return resultNeutral
	default:
	}
	if j.clock.Now()-j.sent < j.silence() {
		return resultNeutral
	}
	return resultFaulty
}

// mayRunAgain reports whether another server may run the request.
func (j *job) mayRunAgain() bool {
	return j.route.Repeatable() && j.runs < j.route.Attempts
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

// watchSilence tells the task if a server stays silent until other requests had
// better avoid it. It ends with the attempt.
func (j *job) watchSilence(ctx context.Context, backend buckthorndyke.Backend, heard <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-heard:
	case <-j.clock.After(j.silence()):
		if err := j.box.Send(ctx, serverSilent{server: backend.ID}); err == nil {
			j.logger.Info().EmbedObject(reporter.EventServerSilent).Str("request", string(j.request.ID)).
				Str("server", string(backend.ID)).Send()
		}
	}
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

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// resultNotRunOf returns what a server's word that it has not run the request says
// of it.
func resultNotRunOf(key buckthorndyke.ModelKey, status int) result {
	switch {
	case key.Model == "":
		return resultNeutral
	case status == http.StatusMisdirectedRequest:
		return resultAbsent
	default:
		return resultFull
	}
}

// resultOf returns what a server's own answer says of it.
func resultOf(status int) result {
	if status >= http.StatusInternalServerError {
		return resultFaulty
	}
	return resultServed
}

// silence returns how long a server may stay silent before other requests avoid it.
func (j *job) silence() buckthorndyke.Millis {
	return max(stallLeast, stallTargets*j.route.Target)
}

// trailText returns the attempts in words.
func (j *job) trailText() string {
	return strings.Join(j.trail, "; ")
}
