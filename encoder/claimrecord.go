package encoder

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/translator"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// DecodeClaim returns the claim record in data.
func DecodeClaim(data []byte) (buckthorndyke.ClaimRecord, error) {
	var w wire.ClaimRecord
	if err := proto.Unmarshal(data, &w); err != nil {
		return buckthorndyke.ClaimRecord{}, errors.Wrap(err, "decode claim record")
	}
	r := buckthorndyke.ClaimRecord{Claim: buckthorndyke.ClaimRequest{
		Fingerprint: buckthorndyke.Fingerprint(w.GetFingerprint()),
		ID:          buckthorndyke.RequestID(w.GetId()),
		Key:         translator.ClaimKeyFromWire(w.GetKey()),
		VM:          buckthorndyke.VMID(w.GetVm()),
	}}
	if o := w.GetOutcome(); o != nil {
		r.Outcome = &buckthorndyke.ClaimOutcome{
			ID:       r.Claim.ID,
			Key:      r.Claim.Key,
			Response: translator.ServiceResponseFromWire(o.GetAnswer()),
			Verdict:  buckthorndyke.ParseVerdict(o.GetVerdict()),
		}
	}
	return r, nil
}

// EncodeClaim returns the encoded form of a claim record, which is the same for equal
// records.
func EncodeClaim(r buckthorndyke.ClaimRecord) ([]byte, error) {
	w := &wire.ClaimRecord{
		Fingerprint: string(r.Claim.Fingerprint),
		Id:          string(r.Claim.ID),
		Key:         translator.ClaimKeyToWire(r.Claim.Key),
		Vm:          string(r.Claim.VM),
	}
	if r.Outcome != nil {
		w.Outcome = &wire.ClaimOutcome{
			Answer:  translator.ServiceResponseToWire(r.Outcome.Response),
			Verdict: r.Outcome.Verdict.String(),
		}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(w)
	return data, errors.Wrap(err, "encode claim record")
}
