package encoder

import (
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// Headers of the platform's and the backend servers' HTTP interfaces.
const (
	// RequestHeader carries the request's ID to a plain service.
	RequestHeader = "X-Request-Id"
	// VerdictHeader is set by a plain service that refuses a call. The value
	// "not-run" means that the call has not run and will not run. Other values are
	// ignored.
	VerdictHeader = "X-Verdict"
)

// DecodeBatch returns the batch of log entries in w.
func DecodeBatch(w *wire.LogReadResponse) buckthorndyke.LogBatch {
	b := buckthorndyke.LogBatch{First: buckthorndyke.Offset(w.First), Tail: buckthorndyke.Offset(w.Tail)}
	for _, e := range w.Entries {
		b.Entries = append(b.Entries, buckthorndyke.LogEntry{
			At: buckthorndyke.Millis(e.AtMs), Data: e.Data, Offset: buckthorndyke.Offset(e.Offset),
		})
	}
	return b
}

// DecodeJSON decodes the JSON object data into w. It ignores unknown fields.
func DecodeJSON(data []byte, w proto.Message) error {
	return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, w)
}

// DecodeRefusal returns the refusal in w. Its verdict is MayHaveRun if w has no known
// verdict.
func DecodeRefusal(w *wire.PlatformError) *buckthorndyke.RefusalError {
	return buckthorndyke.NewRefusal(
		buckthorndyke.Code(w.Code), buckthorndyke.ParseVerdict(w.Verdict), w.Message)
}

// DecodeVMs returns the VMs in w.
func DecodeVMs(w *wire.ListVMsResponse) []buckthorndyke.VM {
	vms := make([]buckthorndyke.VM, 0, len(w.Vms))
	for _, vm := range w.Vms {
		vms = append(vms, buckthorndyke.VM{
			Address: vm.Address, Domain: buckthorndyke.DomainID(vm.Domain), ID: buckthorndyke.VMID(vm.Id),
			Leaving: vm.Leaving, Role: buckthorndyke.Role(vm.Role), Service: buckthorndyke.ServiceID(vm.Service),
		})
	}
	return vms
}

// EncodeBatch returns the wire form of b.
func EncodeBatch(b buckthorndyke.LogBatch) *wire.LogReadResponse {
	w := &wire.LogReadResponse{First: uint64(b.First), Tail: uint64(b.Tail)}
	for _, e := range b.Entries {
		w.Entries = append(w.Entries, &wire.LogEntry{AtMs: int64(e.At), Data: e.Data, Offset: uint64(e.Offset)})
	}
	return w
}

// EncodeJSON returns w as JSON on one line.
func EncodeJSON(w proto.Message) ([]byte, error) {
	return protojson.Marshal(w)
}

// EncodeRefusal returns the wire form of r.
func EncodeRefusal(r *buckthorndyke.RefusalError) *wire.PlatformError {
	return &wire.PlatformError{Code: string(r.Code()), Message: r.Message(), Verdict: r.Verdict().String()}
}

// EncodeVMs returns the wire form of vms.
func EncodeVMs(vms []buckthorndyke.VM) *wire.ListVMsResponse {
	w := &wire.ListVMsResponse{}
	for _, vm := range vms {
		w.Vms = append(w.Vms, &wire.ListedVM{
			Address: vm.Address, Domain: string(vm.Domain), Id: string(vm.ID),
			Leaving: vm.Leaving, Role: string(vm.Role), Service: string(vm.Service),
		})
	}
	return w
}
