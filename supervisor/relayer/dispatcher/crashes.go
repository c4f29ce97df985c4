package dispatcher

import (
	"strings"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// crashCheckDelay is the time from a broken connection to the check whether the
	// server has ended. A server that restarts takes longer.
	crashCheckDelay = 100 * buckthorndyke.Millisecond
	// crashSignTTL is how long a broken connection waits for the list to show that its
	// server has ended.
	crashSignTTL = 10 * buckthorndyke.Second
	// maxCrashSigns bounds the servers for which broken connections are remembered.
	maxCrashSigns = 64
	// maxCrashRequests bounds the requests that are remembered for each of them.
	maxCrashRequests = 64
)

// crashSign is the sign that a server may have ended: connections broke on which it had
// not begun to answer.
type crashSign struct {
	at buckthorndyke.Millis
	// ended is set once it is known that the server has ended.
	ended bool
	// requests holds the fingerprints of the requests on these connections.
	requests [][]buckthorndyke.Fingerprint
}

// noteCrashSigns notes whether the result of an attempt is a sign that its server has
// ended, or shows that it has not.
func (t *task) noteCrashSigns(m attemptEnded) {
	lifetime := buckthorndyke.Lifetime{Incarnation: m.backend.Incarnation, Server: m.backend.ID}
	sign, known := t.crashSigns[lifetime]
	if !m.broken {
		if known && !sign.ended && m.result == resultServed {
			delete(t.crashSigns, lifetime)
		}
		return
	}
	now := t.clock.Now()
	if !known {
		t.expireCrashSigns(now)
		if len(t.crashSigns) >= maxCrashSigns {
			return
		}
		sign.at = now
		go t.checkCrash(m.backend)
	}
	if len(sign.requests) >= maxCrashRequests {
		return
	}
	sign.requests = append(sign.requests, m.fingerprints)
	t.crashSigns[lifetime] = sign
	if sign.ended {
		t.recordCrash(lifetime, [][]buckthorndyke.Fingerprint{m.fingerprints}, "connection")
	}
}

// checkCrash checks after a short time whether a server refuses connections.
func (t *task) checkCrash(backend buckthorndyke.Backend) {
	select {
	case <-t.runCtx.Done():
		return
	case <-t.clock.After(crashCheckDelay):
	}
	accepts, err := t.pool.Accepts(t.runCtx, backend)
	// The message is lost only if the dispatcher has ended.
	_ = t.box.Send(t.runCtx, crashChecked{backend: backend, ended: err == nil && !accepts, err: err})
}

// confirmCrash treats a sign as the end of a server, which cause has shown.
func (t *task) confirmCrash(lifetime buckthorndyke.Lifetime, cause string) {
	sign, ok := t.crashSigns[lifetime]
	if !ok || sign.ended {
		return
	}
	if listed, ok := t.view.List().Servers.Get(lifetime.Server); ok && t.view.Leaves(listed) {
		// The server had announced its end.
		delete(t.crashSigns, lifetime)
		return
	}
	sign.ended = true
	t.crashSigns[lifetime] = sign
	t.recordCrash(lifetime, sign.requests, cause)
}

// confirmCrashesByList confirms the signs of servers that are no longer listed, or that
// have started again.
func (t *task) confirmCrashesByList(list buckthorndyke.Backends) {
	t.expireCrashSigns(t.clock.Now())
	for lifetime := range t.crashSigns {
		listed, ok := list.Servers.Get(lifetime.Server)
		if !ok || listed.Incarnation > lifetime.Incarnation {
			t.confirmCrash(lifetime, "list")
		}
	}
}

// expireCrashSigns removes old signs.
func (t *task) expireCrashSigns(now buckthorndyke.Millis) {
	for lifetime, sign := range t.crashSigns {
		if now >= sign.at+crashSignTTL {
			delete(t.crashSigns, lifetime)
		}
	}
}

// handleCrashCheck applies the result of checkCrash.
func (t *task) handleCrashCheck(m crashChecked) {
	lifetime := buckthorndyke.Lifetime{Incarnation: m.backend.Incarnation, Server: m.backend.ID}
	if m.ended {
		t.confirmCrash(lifetime, "refused-connection")
		return
	}
	t.logger.Info().EmbedObject(reporter.EventServerUnconfirmed).Str("server", lifetime.String()).
		Int("requests", len(t.crashSigns[lifetime].requests)).Err(m.err).Send()
}

// recordCrash records the end of a server and the requests that it had not begun to
// answer.
func (t *task) recordCrash(lifetime buckthorndyke.Lifetime, requests [][]buckthorndyke.Fingerprint, cause string) {
	var names []string
	for _, fingerprints := range requests {
		names = append(names, string(fingerprints[len(fingerprints)-1]))
	}
	t.logger.Info().EmbedObject(reporter.EventServerCrashed).Str("server", lifetime.String()).Str("cause", cause).
		Str("unanswered", strings.Join(names, " ")).Send()
	t.addCrashEvidence(buckthorndyke.CrashEvidence{Crashes: []buckthorndyke.Crash{{Lifetime: lifetime, Requests: requests}}})
	// The leader should learn of the crash at once.
	t.signalWaiting()
}
