// Package reporter writes logs as JSON lines and collects metrics.
package reporter

import (
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
)

// Events that log lines report.
const (
	EventAllotmentExhausted Event = "allotment-exhausted"
	EventAllotmentShare     Event = "allotment-share-changed"
	// EventCallerIrregular reports an irregular value of a caller in the configuration.
	EventCallerIrregular Event = "caller-irregular"
	EventDependencyBack  Event = "dependency-back"
	EventDependencyLost  Event = "dependency-lost"
	// EventDirectoryCopied reports that a VM asked the others for their copies of the
	// directory, since it could not read the platform's.
	EventDirectoryCopied Event = "knowledge-inherited"
	// EventDirectoryRestored reports that the platform's directory was restored from an older
	// copy, or still lists servers that have left before.
	EventDirectoryRestored Event = "directory-restored"
	// EventListCopied reports that a VM asked another for its copy of a large list of
	// servers.
	EventListCopied     Event = "list-copied"
	EventDrainAsked     Event = "drain-asked"
	EventDrainBegun     Event = "drain-begun"
	EventDrainEnded     Event = "drain-ended"
	EventDrainStep      Event = "drain-step"
	EventLeaderFound    Event = "leader-found"
	EventMemoryShort    Event = "memory-short"
	EventOrderEnded     Event = "order-ended"
	EventOrderSent      Event = "order-sent"
	EventProcessStarted Event = "process-started"
	EventProcessStopped Event = "process-stopped"
	EventReadiness      Event = "readiness-changed"
	EventReclaimed      Event = "vm-reclaimed"
	EventQuarantine     Event = "quarantine-changed"
	// EventRequestCut reports a request in a stop that got no complete response.
	EventRequestCut    Event = "request-cut"
	EventRequestFailed Event = "request-failed"
	EventRequestServed Event = "request-served"
	// EventRoutingCopied reports that a VM asked another for its copy of a large
	// configuration.
	EventRoutingCopied  Event = "routing-copied"
	EventRoutingInForce Event = "routing-in-force"
	// EventRoutingOlder reports that the platform has an older configuration than the VM,
	// which keeps its own.
	EventRoutingOlder   Event = "routing-older"
	EventRulesAccepted  Event = "rules-accepted"
	EventRulesRejected  Event = "rules-rejected"
	EventRulesUnknown   Event = "rules-unknown"
	EventRunnersCrowded Event = "runners-crowded"
	EventServerCrashed  Event = "server-crashed"
	EventServerGone     Event = "server-gone"
	EventServerLeaving  Event = "server-leaving"
	EventServerListed   Event = "server-listed"
	EventServerPaused   Event = "server-paused"
	EventServerSilent   Event = "server-silent"
	// EventServerUnconfirmed reports that connections to a server broke and that it is not
	// known to have ended.
	EventServerUnconfirmed Event = "server-unconfirmed"
	// EventServersListed reports how many changes of the list of servers were not logged
	// one by one.
	EventServersLimited   Event = "servers-limited"
	EventServerTimes      Event = "server-times"
	EventServersListed    Event = "servers-listed"
	EventServersMalformed Event = "servers-malformed"
	EventServersSuspected Event = "servers-suspected"
	EventSettingsRejected Event = "settings-rejected"
	EventSettingsReloaded Event = "settings-reloaded"
	EventSupervisor       Event = "supervisor-event"
	EventTaskEnded        Event = "task-ended"
	EventTaskPanicked     Event = "task-panicked"
	EventTaskStuck        Event = "task-stuck"
	EventTermChanged      Event = "term-changed"
	// EventWaitEnded compares the wait of a request that has got a server with the
	// predicted one.
	EventWaitEnded Event = "wait-ended"
	// EventWaitRefused reports why a waiting request was refused.
	EventWaitRefused Event = "wait-refused"
)

// Keys of fields that all log lines have in common.
const (
	keyEvent = "event"
	keyVM    = "vm"
)

// Event is the kebab-case name of the event that a log line reports.
type Event string

// MarshalZerologObject implements zerolog.LogObjectMarshaler, so that EmbedObject can
// add an event to a log line.
func (e Event) MarshalZerologObject(line *zerolog.Event) {
	line.Str(keyEvent, string(e))
}

// NewLogger returns a logger that writes to w. level is the minimum level of the lines:
// debug, info, warn or error. It returns an error if level is unknown.
func NewLogger(w io.Writer, level string, vm buckthorndyke.VMID) (zerolog.Logger, error) {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Wrap(err, "log level must be debug, info, warn or error")
	}
	return zerolog.New(w).Level(minLevel).With().Timestamp().Str(keyVM, string(vm)).Logger(), nil
}

// SupervisorHook returns a hook that logs a supervisor's events, such as the panic of a
// task.
func SupervisorHook(logger zerolog.Logger) suture.EventHook {
	return func(e suture.Event) {
		line := logger.Warn().EmbedObject(eventOf(e))
		for key, value := range e.Map() {
			line = line.Any(strings.ReplaceAll(key, "_", "-"), value)
		}
		line.Msg(e.String())
	}
}

// eventOf returns the log event for a supervisor's event.
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
