package translator

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// RunnerReportFromWire returns the runner's report in m. It ignores unknown ranks.
func RunnerReportFromWire(m *wire.RunnerReport) buckthorndyke.RunnerReport {
	report := buckthorndyke.RunnerReport{
		Busy:      int(m.GetBusy()),
		Epoch:     buckthorndyke.Offset(m.GetEpoch()),
		Residents: fromStrings[buckthorndyke.ModelID](m.GetResidents()),
		Runner:    buckthorndyke.RunnerID(m.GetRunner()),
		Slots:     int(m.GetSlots()),
	}
	for rank, n := range m.GetWaiting() {
		if rank < buckthorndyke.RankCount {
			report.Waiting[rank] = int(n)
		}
	}
	return report
}

// RunnerReportToWire returns the message that carries r.
func RunnerReportToWire(r buckthorndyke.RunnerReport) *wire.RunnerReport {
	m := &wire.RunnerReport{
		Busy:      int32(r.Busy),
		Epoch:     uint64(r.Epoch),
		Residents: toStrings(r.Residents),
		Runner:    string(r.Runner),
		Slots:     int32(r.Slots),
	}
	for _, n := range r.Waiting {
		m.Waiting = append(m.Waiting, int32(n))
	}
	return m
}

// TicketEventFromWire returns the event in m. Its error is the refusal that ended the
// ticket.
func TicketEventFromWire(m *wire.TicketEvent) (buckthorndyke.TicketEvent, error) {
	event := buckthorndyke.TicketEvent{Report: RunnerReportFromWire(m.GetReport())}
	switch e := m.GetEvent().(type) {
	case *wire.TicketEvent_Queued:
		event.Kind = buckthorndyke.TicketQueued
		event.Cold = e.Queued.GetCold()
	case *wire.TicketEvent_Granted:
		event.Kind = buckthorndyke.TicketGranted
		event.Address = e.Granted.GetAddress()
		event.Cold = e.Granted.GetCold()
	case *wire.TicketEvent_Revoked:
		event.Kind = buckthorndyke.TicketRevoked
	case *wire.TicketEvent_Refusal:
		return event, RefusalFromWire(e.Refusal)
	default:
		return event, buckthorndyke.NewRefusal(buckthorndyke.CodeInternal, buckthorndyke.NotRun, "unknown ticket event")
	}
	return event, nil
}

// TicketEventToWire returns the message that carries e.
func TicketEventToWire(e buckthorndyke.TicketEvent) *wire.TicketEvent {
	m := &wire.TicketEvent{Report: RunnerReportToWire(e.Report)}
	switch e.Kind {
	case buckthorndyke.TicketQueued:
		m.Event = &wire.TicketEvent_Queued{Queued: &wire.TicketQueued{Cold: e.Cold}}
	case buckthorndyke.TicketGranted:
		m.Event = &wire.TicketEvent_Granted{Granted: &wire.TicketGranted{Address: e.Address, Cold: e.Cold}}
	case buckthorndyke.TicketRevoked:
		m.Event = &wire.TicketEvent_Revoked{Revoked: &wire.TicketRevoked{}}
	}
	return m
}

// TicketRefusalToWire returns the message that ends a ticket with the refusal in err.
func TicketRefusalToWire(err error) *wire.TicketEvent {
	r := RefusalToWire(buckthorndyke.RefusalOf(err))
	return &wire.TicketEvent{Event: &wire.TicketEvent_Refusal{Refusal: r}}
}

// TicketRequestFromWire returns the request in m.
func TicketRequestFromWire(m *wire.TicketOpen) buckthorndyke.TicketRequest {
	rank, _ := buckthorndyke.ParseRank(m.GetRank())
	return buckthorndyke.TicketRequest{
		Caller:      buckthorndyke.CallerID(m.GetCaller()),
		Deadline:    buckthorndyke.Millis(m.GetDeadlineMs()),
		Fingerprint: buckthorndyke.Fingerprint(m.GetFingerprint()),
		MaxTokens:   int(m.GetMaxTokens()),
		Model:       buckthorndyke.ModelID(m.GetModel()),
		Rank:        rank,
		Request:     buckthorndyke.RequestID(m.GetRequest()),
		Resumed:     m.GetResumed(),
		Runner:      buckthorndyke.RunnerID(m.GetRunner()),
		Suspect:     m.GetSuspect(),
	}
}

// TicketRequestToWire returns the message that carries r.
func TicketRequestToWire(r buckthorndyke.TicketRequest) *wire.TicketOpen {
	return &wire.TicketOpen{
		Caller:      string(r.Caller),
		DeadlineMs:  int64(r.Deadline),
		Fingerprint: string(r.Fingerprint),
		MaxTokens:   int32(r.MaxTokens),
		Model:       string(r.Model),
		Rank:        r.Rank.String(),
		Request:     string(r.Request),
		Resumed:     r.Resumed,
		Runner:      string(r.Runner),
		Suspect:     r.Suspect,
	}
}

// fromStrings converts a list of strings to identifiers.
func fromStrings[ID ~string](list []string) []ID {
	var ids []ID
	for _, s := range list {
		ids = append(ids, ID(s))
	}
	return ids
}

// toStrings converts a list of identifiers to strings.
func toStrings[ID ~string](list []ID) []string {
	var out []string
	for _, id := range list {
		out = append(out, string(id))
	}
	return out
}
