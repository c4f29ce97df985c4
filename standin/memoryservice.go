package standin

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// ServiceFaults are the faults that a plain service injects.
type ServiceFaults struct {
	// Delay is the time before a call takes effect, even if its caller has given up
	// by then.
	Delay buckthorndyke.Millis `json:"delay-ms"`
	// Down refuses calls with the verdict NotRun.
	Down bool `json:"down"`
	// LoseResponses is the number of following calls that take effect but fail with
	// the verdict MayHaveRun.
	LoseResponses int `json:"lose-answers"`
}

// ServiceJournal records what a plain service has done, for assertions. Its maps
// and slices are copies.
type ServiceJournal struct {
	// Calls are the calls that took effect, in sequence.
	Calls []CallRecord `json:"calls"`
	// Keys counts the calls that took effect, by Idempotency-Key.
	Keys map[string]int `json:"keys"`
	// Requests counts the calls that took effect, by request.
	Requests map[buckthorndyke.RequestID]int `json:"requests"`
}

// CallRecord is one call in a journal.
type CallRecord struct {
	Address string                  `json:"address"`
	At      buckthorndyke.Millis    `json:"at-ms"`
	Key     string                  `json:"key"`
	Method  string                  `json:"method"`
	Path    string                  `json:"path"`
	Request buckthorndyke.RequestID `json:"request"`
	Service buckthorndyke.ServiceID `json:"service"`
}

// MemoryService is an in-memory fake of the backend servers of plain services. It
// implements buckthorndyke.Service.
type MemoryService struct {
	task[*serviceState]
}

// ServiceOption configures a MemoryService.
type ServiceOption func(*serviceState)

// WithResponseHeader adds a header to each response.
func WithResponseHeader(key, value string) ServiceOption {
	return func(s *serviceState) { s.header.Add(key, value) }
}

// NewMemoryService returns a service that has received no calls.
func NewMemoryService(clock buckthorndyke.Clock, opts ...ServiceOption) *MemoryService {
	return &MemoryService{task: newTask(func(box *mailer.Mailbox[message[*serviceState]]) *serviceState {
		s := &serviceState{
			box: box, clock: clock, header: http.Header{"Content-Type": {"application/json"}},
			journal: ServiceJournal{Keys: make(map[string]int), Requests: make(map[buckthorndyke.RequestID]int)},
		}
		for _, opt := range opts {
			opt(s)
		}
		return s
	})}
}

// Call implements buckthorndyke.Service. The response's body has the sequence number
// of the call and its request ID.
func (m *MemoryService) Call(
	ctx context.Context, address string, call buckthorndyke.ServiceCall,
) (buckthorndyke.ServiceResponse, error) {
	r, err := ask(ctx, &m.task, func(r mailer.Reply[result[buckthorndyke.ServiceResponse]]) message[*serviceState] {
		return callMessage{address: address, call: call, reply: r}
	})
	if err != nil {
		return buckthorndyke.ServiceResponse{}, err
	}
	return r.value, r.err
}

// Journal returns what the service has done so far.
func (m *MemoryService) Journal(ctx context.Context) (ServiceJournal, error) {
	return ask(ctx, &m.task, func(r mailer.Reply[ServiceJournal]) message[*serviceState] {
		return serviceJournalMessage{reply: r}
	})
}

// SetFaults replaces the faults of the service.
func (m *MemoryService) SetFaults(ctx context.Context, f ServiceFaults) error {
	return tell(ctx, &m.task, func(r mailer.Reply[acknowledged]) message[*serviceState] {
		return serviceFaultsMessage{faults: f, reply: r}
	})
}

// serviceState is the state of a MemoryService.
type serviceState struct {
	box     *mailer.Mailbox[message[*serviceState]]
	clock   buckthorndyke.Clock
	faults  ServiceFaults
	header  http.Header
	journal ServiceJournal
}

// callMessage asks a MemoryService to execute a call.
type callMessage struct {
	address string
	// arrived is set once the fault's delay has passed.
	arrived bool
	call    buckthorndyke.ServiceCall
	reply   mailer.Reply[result[buckthorndyke.ServiceResponse]]
}

func (m callMessage) handle(ctx context.Context, s *serviceState) {
	if s.faults.Down {
		m.reply.Answer(result[buckthorndyke.ServiceResponse]{err: buckthorndyke.NewRefusal(
			buckthorndyke.CodeServiceUnavailable, buckthorndyke.NotRun, "the service is down")})
		return
	}
	if !m.arrived && s.faults.Delay > 0 {
		m.arrived = true
		expired := s.clock.After(s.faults.Delay)
		go func() {
			select {
			case <-expired:
				_ = s.box.Send(ctx, m)
			case <-ctx.Done():
			}
		}()
		return
	}
	response := result[buckthorndyke.ServiceResponse]{value: s.execute(m)}
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		response = result[buckthorndyke.ServiceResponse]{err: buckthorndyke.NewRefusal(
			buckthorndyke.CodeServiceUnavailable, buckthorndyke.MayHaveRun, "the response to the call was lost")}
	}
	m.reply.Answer(response)
}

// execute records a call and returns its response.
func (s *serviceState) execute(m callMessage) buckthorndyke.ServiceResponse {
	key := m.call.Header.Get("Idempotency-Key")
	s.journal.Calls = append(s.journal.Calls, CallRecord{
		Address: m.address, At: s.clock.Now(), Key: key, Method: m.call.Method, Path: m.call.Path,
		Request: m.call.Request, Service: m.call.Service,
	})
	if key != "" {
		s.journal.Keys[key]++
	}
	s.journal.Requests[m.call.Request]++
	body := fmt.Sprintf(`{"call":%d,"request":%q}`, len(s.journal.Calls), m.call.Request)
	return buckthorndyke.ServiceResponse{Body: []byte(body), Header: s.header.Clone(), Status: http.StatusOK}
}

// serviceFaultsMessage replaces the faults of a MemoryService.
type serviceFaultsMessage struct {
	faults ServiceFaults
	reply  mailer.Reply[acknowledged]
}

func (m serviceFaultsMessage) handle(_ context.Context, s *serviceState) {
	s.faults = m.faults
	m.reply.Answer(acknowledged{})
}

// serviceJournalMessage asks a MemoryService for its journal.
type serviceJournalMessage struct {
	reply mailer.Reply[ServiceJournal]
}

func (m serviceJournalMessage) handle(_ context.Context, s *serviceState) {
	journal := s.journal
	journal.Calls = slices.Clone(journal.Calls)
	journal.Keys = maps.Clone(journal.Keys)
	journal.Requests = maps.Clone(journal.Requests)
	m.reply.Answer(journal)
}
