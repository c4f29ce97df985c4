// Package encoder turns records and messages into their wire form and back.
package encoder

import (
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// DecodeClaim returns the claim record in data.
func DecodeClaim(data []byte) (buckthorndyke.ClaimRecord, error) {
	var w wire.ClaimRecord
	if err := proto.Unmarshal(data, &w); err != nil {
		return buckthorndyke.ClaimRecord{}, errors.Wrap(err, "claim record")
	}
	key := buckthorndyke.ClaimKey{
		Caller:  buckthorndyke.CallerID(w.GetKey().GetCaller()),
		Key:     w.GetKey().GetKey(),
		Service: buckthorndyke.ServiceID(w.GetKey().GetService()),
	}
	r := buckthorndyke.ClaimRecord{Claim: buckthorndyke.ClaimRequest{
		Fingerprint: buckthorndyke.Fingerprint(w.GetFingerprint()),
		ID:          buckthorndyke.RequestID(w.GetId()),
		Key:         key,
		VM:          buckthorndyke.VMID(w.GetVm()),
	}}
	if o := w.GetOutcome(); o != nil {
		r.Outcome = &buckthorndyke.ClaimOutcome{
			Answer:  answerFromRecord(o.GetAnswer()),
			ID:      r.Claim.ID,
			Key:     key,
			Verdict: buckthorndyke.ParseVerdict(o.GetVerdict()),
		}
	}
	return r, nil
}

// EncodeClaim returns the bytes of a claim record. Equal records give equal
// bytes.
func EncodeClaim(r buckthorndyke.ClaimRecord) ([]byte, error) {
	w := &wire.ClaimRecord{
		Fingerprint: string(r.Claim.Fingerprint),
		Id:          string(r.Claim.ID),
		Key: &wire.ClaimKey{
			Caller:  string(r.Claim.Key.Caller),
			Key:     r.Claim.Key.Key,
			Service: string(r.Claim.Key.Service),
		},
		Vm: string(r.Claim.VM),
	}
	if r.Outcome != nil {
		w.Outcome = &wire.ClaimOutcome{
			Answer:  answerToRecord(r.Outcome.Answer),
			Verdict: r.Outcome.Verdict.String(),
		}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(w)
	return data, errors.Wrap(err, "claim record")
}

// answerFromRecord returns the answer in a record, or nil if there is none.
func answerFromRecord(w *wire.ServiceAnswer) *buckthorndyke.ServiceAnswer {
	if w == nil {
		return nil
	}
	a := &buckthorndyke.ServiceAnswer{Body: w.GetBody(), Header: make(http.Header), Status: int(w.GetStatus())}
	for _, h := range w.GetHeaders() {
		a.Header[h.GetName()] = h.GetValues()
	}
	return a
}

// answerToRecord returns the wire form of an answer, or nil if there is none.
func answerToRecord(a *buckthorndyke.ServiceAnswer) *wire.ServiceAnswer {
	if a == nil {
		return nil
	}
	w := &wire.ServiceAnswer{Body: a.Body, Status: int32(min(max(a.Status, 0), 999))}
	names := make([]string, 0, len(a.Header))
	for name := range a.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		w.Headers = append(w.Headers, &wire.Header{Name: name, Values: a.Header[name]})
	}
	return w
}
