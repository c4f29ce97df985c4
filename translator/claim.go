package translator

import (
	"net/http"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// ClaimKeyFromWire returns the key in m.
func ClaimKeyFromWire(m *wire.ClaimKey) buckthorndyke.ClaimKey {
	return buckthorndyke.ClaimKey{
		Caller:  buckthorndyke.CallerID(m.GetCaller()),
		Key:     m.GetKey(),
		Service: buckthorndyke.ServiceID(m.GetService()),
	}
}

// ClaimKeyToWire returns the message that carries k.
func ClaimKeyToWire(k buckthorndyke.ClaimKey) *wire.ClaimKey {
	return &wire.ClaimKey{Caller: string(k.Caller), Key: k.Key, Service: string(k.Service)}
}

// ClaimOutcomeFromWire returns the outcome in m.
func ClaimOutcomeFromWire(m *wire.SettleRequest) buckthorndyke.ClaimOutcome {
	return buckthorndyke.ClaimOutcome{
		ID:       buckthorndyke.RequestID(m.GetId()),
		Key:      ClaimKeyFromWire(m.GetKey()),
		Response: ServiceResponseFromWire(m.GetOutcome().GetAnswer()),
		Verdict:  buckthorndyke.ParseVerdict(m.GetOutcome().GetVerdict()),
	}
}

// ClaimOutcomeToWire returns the message that carries o.
func ClaimOutcomeToWire(o buckthorndyke.ClaimOutcome) *wire.SettleRequest {
	return &wire.SettleRequest{
		Id:      string(o.ID),
		Key:     ClaimKeyToWire(o.Key),
		Outcome: &wire.ClaimOutcome{Answer: ServiceResponseToWire(o.Response), Verdict: o.Verdict.String()},
	}
}

// ClaimReplyFromWire returns the reply in m.
func ClaimReplyFromWire(m *wire.ClaimResponse) buckthorndyke.ClaimReply {
	return buckthorndyke.ClaimReply{
		Granted:  m.GetGranted(),
		Mismatch: m.GetMismatch(),
		Response: ServiceResponseFromWire(m.GetAnswer()),
		Verdict:  buckthorndyke.ParseVerdict(m.GetVerdict()),
	}
}

// ClaimReplyToWire returns the message that carries r.
func ClaimReplyToWire(r buckthorndyke.ClaimReply) *wire.ClaimResponse {
	return &wire.ClaimResponse{
		Answer:   ServiceResponseToWire(r.Response),
		Granted:  r.Granted,
		Mismatch: r.Mismatch,
		Verdict:  r.Verdict.String(),
	}
}

// ClaimRequestFromWire returns the request in m.
func ClaimRequestFromWire(m *wire.ClaimRequest) buckthorndyke.ClaimRequest {
	return buckthorndyke.ClaimRequest{
		Fingerprint: buckthorndyke.Fingerprint(m.GetFingerprint()),
		ID:          buckthorndyke.RequestID(m.GetId()),
		Key:         ClaimKeyFromWire(m.GetKey()),
		VM:          buckthorndyke.VMID(m.GetVm()),
	}
}

// ClaimRequestToWire returns the message that carries r.
func ClaimRequestToWire(r buckthorndyke.ClaimRequest) *wire.ClaimRequest {
	return &wire.ClaimRequest{
		Fingerprint: string(r.Fingerprint),
		Id:          string(r.ID),
		Key:         ClaimKeyToWire(r.Key),
		Vm:          string(r.VM),
	}
}

// ServiceResponseFromWire returns the service's response in m, or nil if m is nil.
func ServiceResponseFromWire(m *wire.ServiceAnswer) *buckthorndyke.ServiceResponse {
	if m == nil {
		return nil
	}
	response := &buckthorndyke.ServiceResponse{Body: m.GetBody(), Header: http.Header{}, Status: int(m.GetStatus())}
	for _, h := range m.GetHeaders() {
		response.Header[h.GetName()] = h.GetValues()
	}
	return response
}

// ServiceResponseToWire returns the message that carries r, or nil if r is nil. It
// sorts the header fields, so that equal responses give equal messages.
func ServiceResponseToWire(r *buckthorndyke.ServiceResponse) *wire.ServiceAnswer {
	if r == nil {
		return nil
	}
	m := &wire.ServiceAnswer{Body: r.Body, Status: int32(r.Status)}
	for name, values := range r.Header {
		m.Headers = append(m.Headers, &wire.Header{Name: name, Values: values})
	}
	slices.SortFunc(m.Headers, func(a, b *wire.Header) int {
		if a.GetName() < b.GetName() {
			return -1
		}
		return 1
	})
	return m
}
