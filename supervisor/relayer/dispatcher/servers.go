package dispatcher

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

// handleServerTold applies what a server has said of itself in a response.
func (t *task) handleServerTold(m serverTold) {
	lifetime := buckthorndyke.Lifetime{Incarnation: m.backend.Incarnation, Server: m.backend.ID}
	listed, ok := t.view.List().Servers.Get(lifetime.Server)
	if ok && listed.Incarnation != lifetime.Incarnation {
		return
	}
	if m.leaving && (!ok || !t.view.Leaves(listed)) {
		t.view = t.view.WithLeaving(lifetime)
		t.logger.Info().EmbedObject(reporter.EventServerLeaving).Str("server", lifetime.String()).Str("source", "response").Send()
	}
	if now := t.clock.Now(); m.pausedUntil > now {
		t.view = t.view.WithPause(lifetime, m.pausedUntil, now)
		t.logger.Info().EmbedObject(reporter.EventServerPaused).Str("server", lifetime.String()).Str("source", "response").
			Int64("left-ms", int64(m.pausedUntil-now)).Send()
	}
}

// refusePaused refuses a request if all servers that could take it have asked for pauses
// that end too late for it, and reports whether it did.
func (t *task) refusePaused(m admissionRequested) bool {
	now := t.clock.Now()
	m.query.Now = now
	until, paused := t.view.PausedUntil(m.query)
	if !paused || until < t.waitUntil(m) {
		return false
	}
	m.reply.Answer(admission{err: errPaused.WithRetryAfter(until - now), final: true})
	return true
}
