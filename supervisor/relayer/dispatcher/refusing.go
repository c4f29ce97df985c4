package dispatcher

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/sequencer"
)

// Reasons for which waiting requests are refused, in metrics and lines.
const (
	reasonExpired = "wait-limit"
	reasonLoading = "loaded-too-late"
	reasonNoRoom  = "no-room"
)

var (
	errNoRoom = buckthorndyke.NewRefusal(buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun,
		"the predicted wait for a server is too long")
	errLoadedLate = buckthorndyke.NewRefusal(buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun,
		"the model is predicted to be loaded too late")
)

// refuseHopeless refuses the waiting requests that will clearly not start in time.
func (t *task) refuseHopeless() {
	if !t.waiting.queue.Predicts() {
		return
	}
	for key := range t.expected {
		for r := range t.waiting.queue.Of(key) {
			t.refuseLoadedLate(r)
		}
	}
	for ticket, f := range t.waiting.queue.Hopeless(t.clock.Now()) {
		if r, ok := t.waiting.queue.Get(ticket); ok {
			t.refuseWaiting(r, errNoRoom, reasonNoRoom, f)
		}
	}
}

// refuseIfHopeless refuses a request that has begun to wait if it will clearly not start in
// time, and reports whether it did.
func (t *task) refuseIfHopeless(r sequencer.Request) bool {
	if !t.waiting.queue.Predicts() {
		return false
	}
	if t.refuseLoadedLate(r) {
		return true
	}
	now := t.clock.Now()
	f := t.waiting.queue.Forecast(r, now)
	if !r.MayHaveRun && f.Misses(r.Latest(), now) {
		t.refuseWaiting(r, errNoRoom, reasonNoRoom, f)
		return true
	}
	m := t.waiting.requests[r.Ticket]
	m.forecast = f
	t.waiting.requests[r.Ticket] = m
	return false
}

// refuseLoadedLate refuses a waiting request if its model is on no server and will be loaded
// when the request can clearly not wait any more. It reports whether it did.
func (t *task) refuseLoadedLate(r sequencer.Request) bool {
	now := t.clock.Now()
	expected, ok := t.expected[r.Key]
	if !ok || !t.hasLeader || r.MayHaveRun {
		return false
	}
	f := sequencer.ReadyAt(expected, now)
	limits, longest := t.waiting.requests[r.Ticket].limits.WithDrain(t.drain.waitUntil), r
	longest.Until = limits.Longest()
	if !f.Misses(longest.Latest(), now) || limits.BetterHeld(now, r.Until, r.Deadline, expected) || t.view.Loaded(r.Key, now) {
		return false
	}
	t.refuseWaiting(r, errLoadedLate, reasonLoading, f)
	return true
}

// refuseExpired refuses the requests that have waited as long as they may.
func (t *task) refuseExpired() {
	now := t.clock.Now()
	for r := range t.waiting.queue.Expired(now) {
		f := sequencer.Forecast{}
		if expected := t.expected[r.Key]; expected > now {
			f = sequencer.ReadyAt(expected, now)
		}
		t.refuseWaiting(r, errNoServer, reasonExpired, f)
	}
}

// refuseWaiting refuses a waiting request with the time after which there is predicted to be
// room, and expects its client to return then.
func (t *task) refuseWaiting(r sequencer.Request, refusal *buckthorndyke.RefusalError, reason string, f sequencer.Forecast) {
	now := t.clock.Now()
	m := t.waiting.requests[r.Ticket]
	var wait buckthorndyke.Millis
	if f.Known {
		wait = f.Wait
	}
	retryAfter := retryAfterOf(m.job.seed, m.job.deadline-now, wait)
	t.forget(r.Ticket)
	if !r.MayHaveRun {
		t.waiting.queue = t.waiting.queue.WithPromise(m.job.content(), r, now+retryAfter, now)
	}
	m.reply.Answer(admission{err: refusal.WithRetryAfter(retryAfter), final: true})
	t.meter.Count(buckthorndyke.MetricWaitsRefused.Of(t.labels.ofWaiting(r)).Of(reason), 1)
	if skipped, ok := t.waiting.refusals.allow(now); ok {
		t.logger.Info().EmbedObject(reporter.EventWaitRefused).Str("request", string(m.job.request.ID)).Str("reason", reason).
			Str("model", string(r.Key.Model)).Str("adapter", r.Key.Adapter).Str("service", string(r.Key.Service)).
			Str("caller", string(m.job.request.Caller)).Int("priority", r.Priority).Int64("waited-ms", int64(now-m.queuedAt)).
			Int64("predicted-ms", int64(f.Wait)).Int("ahead", f.Ahead).Int64("left-ms", int64(m.job.deadline-now)).
			Int64("retry-ms", int64(retryAfter)).Int("refusals", skipped+1).Send()
	}
}

// noteGranted records how long a request that has got a server has waited, and whether it
// has passed over one that has waited for longer.
func (t *task) noteGranted(pass sequencer.Pass, r sequencer.Request, m admissionRequested) {
	now := t.clock.Now()
	waited := now - m.queuedAt
	t.meter.Observe(buckthorndyke.MetricWait.Of(t.labels.ofWaiting(r)), waited)
	if aged, ok := pass.PassedOver(r); ok {
		t.meter.Count(buckthorndyke.MetricPassedOver.Of(t.labels.ofWaiting(aged)), 1)
	}
	if !m.forecast.Known {
		return
	}
	t.meter.Observe(buckthorndyke.MetricWaitError, max(waited-m.forecast.Wait, m.forecast.Wait-waited))
	if skipped, ok := t.waiting.forecasts.allow(now); ok {
		t.logger.Info().EmbedObject(reporter.EventWaitEnded).Str("request", string(m.job.request.ID)).
			Str("model", string(r.Key.Model)).Str("adapter", r.Key.Adapter).Str("service", string(r.Key.Service)).
			Str("caller", string(m.job.request.Caller)).Int("priority", r.Priority).Int64("waited-ms", int64(waited)).
			Int64("predicted-ms", int64(m.forecast.Wait)).Int("ahead", m.forecast.Ahead).Int("waits", skipped+1).Send()
	}
}

// content returns the fingerprint of the request's content.
func (j *job) content() buckthorndyke.Fingerprint {
	if len(j.fingerprints) == 0 {
		return ""
	}
	return j.fingerprints[len(j.fingerprints)-1]
}

// retryAfterOf returns the time after which a client with the given time left is told to
// retry: when a server is predicted to be available after wait, or after a part of the time
// left if wait is 0, but early enough before its deadline. The clients are spread by seed.
func retryAfterOf(seed uint64, left, wait buckthorndyke.Millis) buckthorndyke.Millis {
	if wait <= 0 {
		wait = min(left/unexpectedDivisor, maxRetryAfter)
	}
	limit := max(left/expectedDivisor, 1)
	return max(sequencer.Spread(max(wait, minRetryAfter), limit, seed), 1)
}

// lineLimit bounds the lines of one kind per second.
type lineLimit struct {
	perSecond int
	sent      int
	skipped   int
	start     buckthorndyke.Millis
}

// allow reports whether a line may be written at now, and how many were not since the last
// one.
func (l *lineLimit) allow(now buckthorndyke.Millis) (int, bool) {
	if now >= l.start+buckthorndyke.Second {
		l.sent, l.start = 0, now
	}
	if l.sent >= l.perSecond {
		l.skipped++
		return 0, false
	}
	skipped := l.skipped
	l.sent, l.skipped = l.sent+1, 0
	return skipped, true
}
