package dispatcher

import (
	"fmt"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// limitsLogInterval is the shortest time between two lines on limits.
	limitsLogInterval = 5 * buckthorndyke.Second
	// roomSignalInterval is the shortest time between two early reports because of requests
	// that wait for a runner with their model. The leader can do less for these than for
	// requests whose model is not loaded, and there may be hundreds a second.
	roomSignalInterval = 120 * buckthorndyke.Millisecond
	// maxLoggedLimits bounds the servers in such a line.
	maxLoggedLimits = 8
)

// roomLog is what the next line on limits reports.
type roomLog struct {
	// at is the instant of the previous line.
	at buckthorndyke.Millis
	// rejected counts the requests that runners have rejected since then.
	rejected int
}

// measureRoom records how many servers are limited.
func (t *task) measureRoom(now buckthorndyke.Millis) {
	t.meter.Set(buckthorndyke.MetricServersLimited, int64(len(t.view.LimitedServers(now))))
}

// noteFull applies that a runner has rejected a request because it is full.
func (t *task) noteFull(m attemptEnded, now buckthorndyke.Millis) {
	t.view = t.view.WithFull(m.backend.ID, now-m.duration, now)
	t.roomLog.rejected++
	t.meter.Count(buckthorndyke.MetricRequestsRejected, 1)
	if now < t.roomLog.at+limitsLogInterval {
		return
	}
	limited := t.view.LimitedServers(now)
	lowest := make([]string, 0, maxLoggedLimits)
	for _, l := range limited[:min(len(limited), maxLoggedLimits)] {
		lowest = append(lowest, fmt.Sprintf("%s %d of %.2f, in %d ms", l.Server, l.InFlight, l.Limit, l.ResumeIn))
	}
	t.logger.Info().EmbedObject(reporter.EventServersLimited).Int("servers", len(limited)).Int("rejected", t.roomLog.rejected).
		Strs("lowest", lowest).Send()
	t.roomLog = roomLog{at: now}
}

// noteRoomUsed applies that a runner has served a request.
func (t *task) noteRoomUsed(m attemptEnded, now buckthorndyke.Millis) {
	if m.key.Model != "" {
		t.view = t.view.WithRoomUsed(m.backend.ID, now-m.duration, now)
	}
}

// signalNewWait makes the demand source report early that a request has begun to wait.
func (t *task) signalNewWait(m admissionRequested) {
	if m.query.Key.Model == "" {
		return
	}
	if t.waitsForRoom(m) {
		now := t.clock.Now()
		if t.roomSignalAt > 0 && now < t.roomSignalAt+roomSignalInterval {
			return
		}
		t.roomSignalAt = now
	}
	t.signalWaiting()
}

// waitsForRoom reports whether a runner has loaded what a request needs, so that the
// request waits only for room there.
func (t *task) waitsForRoom(m admissionRequested) bool {
	m.query.Now = t.clock.Now()
	return m.query.Key.Model != "" && t.view.Holds(m.query)
}
