package dispatcher

import (
	"context"
	"fmt"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

const (
	// firstEventTimeout bounds how long the first event of a response waits while the task's
	// mailbox is full. Without the message, the prompt counts as unread until the end.
	firstEventTimeout = 50 * buckthorndyke.Millisecond
	// timesLogInterval is the time between two lines on the times of servers, and between
	// two removals of old times.
	timesLogInterval = 30 * buckthorndyke.Second
	// maxLoggedTimes bounds the servers in such a line.
	maxLoggedTimes = 8
)

// query returns the query for a server of the request.
func (j *job) query() selector.Query {
	prefix, tokens := j.promptPrefix()
	return selector.Query{
		Excluded: j.excluded, Key: j.key, OutputTokens: j.request.OutputTokens, Prefix: prefix, PrefixTokens: tokens,
		Seed: j.seed + uint64(j.attempts), Target: j.route.LatencyTarget, Tokens: j.request.PromptTokens,
	}
}

// tellFirstEvent tells the task that the server of the attempt has begun to send events.
func (j *job) tellFirstEvent(ctx context.Context) {
	m := attemptBegun{
		isWhole: j.request.LastEventID == "", sent: j.sent, took: max(j.clock.Now()-j.attemptStart, 1), unread: j.taken.Unread,
	}
	ctx, cancel := context.WithTimeout(ctx, firstEventTimeout.Duration())
	defer cancel()
	if err := j.box.Send(ctx, m); err != nil {
		return
	}
	j.taken.Unread = 0
	if m.isWhole {
		j.firstTook = m.took
	}
}

// expect returns what a request adds to the load of a server, and what the server has to do
// for it.
func (t *task) expect(m admissionRequested, backend buckthorndyke.Backend) (selector.Load, selector.Sent) {
	sent := selector.Sent{Backend: backend, Key: m.query.Key, OutputTokens: m.query.OutputTokens}
	if m.query.Key.Model == "" {
		return m.load, sent
	}
	sent.ReadTokens = t.view.ReadTokens(backend, m.query)
	m.load.Held = m.query.HeldTokens()
	m.load.Unread = t.view.UncachedTokens(backend, m.query)
	return m.load, sent
}

// learnEnd learns how long a server has taken for a request that it has served.
func (t *task) learnEnd(m attemptEnded, now buckthorndyke.Millis) {
	switch {
	case m.key.Model == "":
		t.view = t.view.WithCall(m.sent, m.duration, now)
	case m.first > 0:
		t.view = t.view.WithRest(m.sent, max(m.duration-m.first, 0), now)
	}
}

// logTimes logs which servers take longer than others, and drops what is too old.
func (t *task) logTimes(now buckthorndyke.Millis) {
	if now < t.timesLoggedAt+timesLogInterval {
		return
	}
	t.timesLoggedAt = now
	t.view = t.view.WithoutOldTimes(now)
	factors := t.view.ServerFactors(maxLoggedTimes, now)
	if len(factors) == 0 {
		return
	}
	slowest := make([]string, 0, len(factors))
	for _, f := range factors {
		slowest = append(slowest, fmt.Sprintf("%s x%.2f, spread x%.2f, %d ms ago", f.Server, f.Factor, f.Spread, f.Age))
	}
	t.logger.Info().EmbedObject(reporter.EventServerTimes).Strs("slowest", slowest).Send()
}

// noteFirstEvent applies the first event of a server's response.
func (t *task) noteFirstEvent(m attemptBegun) {
	now := t.clock.Now()
	t.view = t.view.WithLoad(m.sent.Backend.ID, selector.Load{Unread: -m.unread})
	if !m.isWhole {
		return
	}
	if expected, ok := t.view.ExpectedFirst(m.sent, now); ok {
		t.meter.Observe(buckthorndyke.MetricExpectationError, max(m.took-expected, expected-m.took))
	}
	t.view = t.view.WithFirstEvent(m.sent, m.took, now, t.domain)
}
