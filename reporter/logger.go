// Package reporter writes logs as JSON lines and keeps metrics.
package reporter

import (
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
)

// Events of the log.
const (
	EventDependencyBack   Event = "dependency-back"
	EventDependencyLost   Event = "dependency-lost"
	EventDirectoryCopied  Event = "knowledge-inherited"
	EventDrainAsked       Event = "drain-asked"
	EventDrainBegun       Event = "drain-begun"
	EventDrainEnded       Event = "drain-ended"
	EventDrainStep        Event = "drain-step"
	EventLeaderFound      Event = "leader-found"
	EventOrderEnded       Event = "order-ended"
	EventOrderSent        Event = "order-sent"
	EventProcessStarted   Event = "process-started"
	EventProcessStopped   Event = "process-stopped"
	EventReadiness        Event = "readiness-changed"
	EventReclaimed        Event = "vm-reclaimed"
	EventRequestFailed    Event = "request-failed"
	EventRequestServed    Event = "request-served"
	EventRoutingInForce   Event = "routing-in-force"
	EventRulesAccepted    Event = "rules-accepted"
	EventRulesRejected    Event = "rules-rejected"
	EventRulesUnknown     Event = "rules-unknown"
	EventServerGone       Event = "server-gone"
	EventServerListed     Event = "server-listed"
	EventServerSilent     Event = "server-silent"
	EventServersMalformed Event = "servers-malformed"
	EventServersSuspected Event = "servers-suspected"
	EventSettingsRejected Event = "settings-rejected"
	EventSettingsReloaded Event = "settings-reloaded"
	EventSupervisor       Event = "supervisor-event"
	EventTaskEnded        Event = "task-ended"
	EventTaskPanicked     Event = "task-panicked"
	EventTaskStuck        Event = "task-stuck"
	EventTermChanged      Event = "term-changed"
)

// Keys of the fields that lines share.
const (
	keyEvent = "event"
	keyVM    = "vm"
)

// Event is the kebab-case name of what a line reports.
type Event string

// MarshalZerologObject implements zerolog.LogObjectMarshaler, so that an event is
// added to a line by EmbedObject.
func (e Event) MarshalZerologObject(line *zerolog.Event) {
	line.Str(keyEvent, string(e))
}

// NewLogger returns a logger that writes the lines of at least the given level
// to w: debug, info, warn or error.
func NewLogger(w io.Writer, level string, vm buckthorndyke.VMID) (zerolog.Logger, error) {
	least, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Wrap(err, "choose debug, info, warn or error")
	}
	return zerolog.New(w).Level(least).With().Timestamp().Str(keyVM, string(vm)).Logger(), nil
}

// SupervisorHook returns a hook that logs what a supervisor does about tasks
// that end.
func SupervisorHook(logger zerolog.Logger) suture.EventHook {
	return func(e suture.Event) {
		line := logger.Warn().EmbedObject(eventOf(e))
		for key, value := range e.Map() {
			line = line.Any(strings.ReplaceAll(key, "_", "-"), value)
		}
		line.Msg(e.String())
	}
}

// eventOf returns the name of a supervisor's event.
func eventOf(e suture.Event) Event {
	switch e.Type() {
	case suture.EventTypeServicePanic:
		return EventTaskPanicked
	case suture.EventTypeServiceTerminate:
		return EventTaskEnded
	case suture.EventTypeStopTimeout:
		return EventTaskStuck
	default:
		return EventSupervisor
	}
}
