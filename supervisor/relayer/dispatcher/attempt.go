package dispatcher

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// stallLeast and stallTargets bound how long a server may stay silent before other
	// requests avoid it: most are served within their target.
	stallLeast   = 700 * buckthorndyke.Millisecond
	stallTargets = 2
	// urgencyLimit is the least urgency that an engine knows.
	urgencyLimit = 9
	// urgencyStep is the distance in urgency between two priorities.
	urgencyStep = 2
)

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

// answered handles the beginning of a server's answer.
func (j *job) answered(ctx context.Context, backend buckthorndyke.Backend, a buckthorndyke.DispatchResponse) (bool, error) {
	switch {
	case a.NotRun:
		j.note(backend, "not run %d", a.Status)
		j.end(ctx, backend, resultNotRunOf(j.key, a.Status))
		if j.key.Model == "" {
			j.excluded = append(j.excluded, backend.ID)
		}
		return true, buckthorndyke.NewRefusal(buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun,
			"the server did not run the request").WithRetryAfter(retryAfter)
	case !a.Signed && (a.Status < http.StatusMultipleChoices || promises(a.Status)):
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
func (j *job) copyWhole(ctx context.Context, backend buckthorndyke.Backend, a buckthorndyke.DispatchResponse) (bool, error) {
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
	return max(stallLeast, stallTargets*j.route.LatencyTarget)
}
