package dispatcher

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// minSilence and silenceTargetFactor determine how long a server may take to respond
	// before other requests avoid it: the longer of minSilence and that multiple of the
	// route's latency target. Most requests are served within their target.
	minSilence          = 700 * buckthorndyke.Millisecond
	silenceTargetFactor = 2
	// maxUrgency is the urgency value of the least urgent requests that engines accept.
	maxUrgency = 9
	// urgencyStep is the difference in urgency between two successive priorities.
	urgencyStep = 2
)

// attempt sends the request to one server. It reports whether another attempt may be
// made after an error.
func (j *job) attempt(ctx context.Context) (bool, error) {
	backend, err := j.acquireServer(ctx)
	if err != nil {
		return false, err
	}
	j.attempts++
	limit, cancel := context.WithTimeoutCause(ctx, max(j.deadline-j.clock.Now(), 1).Duration(), errTimeout)
	defer cancel()
	j.responded, j.attemptStart = make(chan struct{}), j.clock.Now()
	j.begun, j.mayHaveCrashed = false, false
	go j.watchSilence(limit, backend, j.responded)
	response, err := j.pool.Dispatch(limit, buckthorndyke.Dispatch{
		Backend:  backend,
		Request:  j.request,
		TimeLeft: j.deadline - j.clock.Now(),
		Urgency:  j.urgency(),
	})
	if err != nil {
		j.mayHaveCrashed = !buckthorndyke.VerdictOf(err).RetryIsSafe()
		return j.handleFailure(ctx, backend, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.Leaving || response.Pause > 0 {
		j.noteServerTold(ctx, backend, response)
	}
	if j.route.Kind != buckthorndyke.RouteStream {
		close(j.responded)
	}
	return j.handleResponse(limit, backend, response)
}

// handleResponse handles the head of a server's response.
func (j *job) handleResponse(ctx context.Context, backend buckthorndyke.Backend, a buckthorndyke.DispatchResponse) (bool, error) {
	switch {
	case a.NotRun:
		j.noteAttempt(backend, "not run, status %d", a.Status)
		j.releaseServer(ctx, backend, resultOfNotRun(j.key, a.Status))
		if j.key.Model == "" && a.Pause == 0 {
			j.excluded = append(j.excluded, backend.ID)
		}
		return true, buckthorndyke.NewRefusal(buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun,
			"the server did not run the request").WithRetryAfter(minRetryAfter)
	case !a.Signed && (a.Status < http.StatusMultipleChoices || impliesNotRun(a.Status)):
		return j.handleFailure(ctx, backend, errors.Newf("the server sent an unsigned response with status %d", a.Status))
	case !j.answer.continues(a.Status, a.Header):
		return j.refuseContinuation(ctx, backend, a)
	case a.Status >= http.StatusInternalServerError && j.route.Kind == buckthorndyke.RouteSafe && j.executions+1 < j.route.Attempts:
		j.noteAttempt(backend, "status %d", a.Status)
		j.executions++
		j.releaseServer(ctx, backend, resultServerError)
		j.excluded = append(j.excluded, backend.ID)
		return true, buckthorndyke.NewRefusal(buckthorndyke.CodeServiceUnavailable, buckthorndyke.MayHaveRun,
			"the server failed to serve the request")
	case j.route.Kind == buckthorndyke.RouteStream && a.Status < http.StatusMultipleChoices && isStream(a.Header):
		return j.relayStream(ctx, backend, a)
	default:
		return j.copyResponse(ctx, backend, a)
	}
}

// refuseContinuation handles a response, or its beginning, that cannot be passed on because
// the client has been sent a part of a stream. What the client has may still be resumed.
func (j *job) refuseContinuation(ctx context.Context, backend buckthorndyke.Backend, a buckthorndyke.DispatchResponse) (bool, error) {
	j.noteAttempt(backend, "status %d of type %q after event %q", a.Status, mediaTypeOf(a.Header), j.answer.lastEventID)
	j.executions++
	j.releaseServer(ctx, backend, resultServerError)
	j.excluded = append(j.excluded, backend.ID)
	return j.mayRetry(), buckthorndyke.NewRefusal(buckthorndyke.CodeServiceUnavailable, buckthorndyke.MayHaveRun,
		"the server did not resume the stream")
}

// handleFailure handles an attempt that ended without a complete response.
func (j *job) handleFailure(ctx context.Context, backend buckthorndyke.Backend, err error) (bool, error) {
	stopping := errors.Is(err, buckthorndyke.ErrStopping)
	if stopping || errors.Is(err, errTimeout) || errors.Is(err, context.Canceled) {
		j.noteAttempt(backend, "ended by this VM")
		j.releaseServer(ctx, backend, j.resultOfCancelled())
		j.executions++
		if stopping {
			return false, buckthorndyke.ErrStopping
		}
		return false, errTimeout
	}
	if errors.Is(err, errUnread) {
		// The server is not excluded: it has not failed.
		j.noteAttempt(backend, "cut while the client did not read: %v", err)
		j.releaseServer(ctx, backend, resultNeutral)
		j.executions++
		return j.mayRetry(), errUnread
	}
	j.noteAttempt(backend, "failed: %v", err)
	if errors.Is(err, buckthorndyke.ErrMemory) || errors.Is(err, errEventMemory) {
		j.releaseServer(ctx, backend, resultNeutral)
	} else {
		j.releaseServer(ctx, backend, resultFailed)
	}
	j.excluded = append(j.excluded, backend.ID)
	verdict := buckthorndyke.VerdictOf(err)
	refusal := buckthorndyke.NewRefusal(buckthorndyke.CodeServiceUnavailable, verdict, "the server did not respond")
	if verdict.RetryIsSafe() {
		return true, refusal.WithRetryAfter(minRetryAfter)
	}
	j.executions++
	return j.mayRetry(), refusal
}

// resultOfCancelled returns the result of an attempt that this VM ended. A server that
// did not respond within the silence limit counts as failing.
func (j *job) resultOfCancelled() result {
	select {
	case <-j.responded:
		return resultNeutral
	default:
	}
	if j.clock.Now()-j.attemptStart < j.silenceLimit() {
		return resultNeutral
	}
	return resultServerError
}

// mayRetry reports whether the request may be sent to another server although it may
// already have run.
func (j *job) mayRetry() bool {
	return j.route.Repeatable() && j.executions < j.route.Attempts
}

// noteServerTold tells the task what a server has said of itself.
func (j *job) noteServerTold(ctx context.Context, backend buckthorndyke.Backend, response buckthorndyke.DispatchResponse) {
	m := serverTold{backend: backend, leaving: response.Leaving}
	if response.Pause > 0 {
		m.pausedUntil = j.clock.Now() + response.Pause
	}
	j.tell(ctx, m)
}

// watchSilence tells the task if a server has not responded within the silence limit, so
// that other requests avoid it. It ends with the attempt.
func (j *job) watchSilence(ctx context.Context, backend buckthorndyke.Backend, heard <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-heard:
	case <-j.clock.After(j.silenceLimit()):
		if err := j.box.Send(ctx, serverSilent{server: backend.ID}); err == nil {
			j.logger.Info().EmbedObject(reporter.EventServerSilent).Str("request", string(j.request.ID)).
				Str("server", string(backend.ID)).Send()
		}
	}
}

// impliesNotRun reports whether a status means that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// resultOfNotRun returns the result of an attempt at a server that declared that it has
// not run the request.
func resultOfNotRun(key buckthorndyke.ModelKey, status int) result {
	switch {
	case key.Model == "":
		return resultNeutral
	case status == http.StatusMisdirectedRequest:
		return resultModelMissing
	default:
		return resultBusy
	}
}

// resultOf returns the result of an attempt that ended with a complete response.
func resultOf(status int) result {
	if status >= http.StatusInternalServerError {
		return resultServerError
	}
	return resultServed
}

// silenceLimit returns how long a server may take to respond before other requests
// avoid it.
func (j *job) silenceLimit() buckthorndyke.Millis {
	return max(minSilence, silenceTargetFactor*j.route.LatencyTarget)
}
