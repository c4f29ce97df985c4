package encoder

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/translator"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// Routings encodes configurations as compressed protocol buffers. It implements
// buckthorndyke.RoutingEncoder.
type Routings struct{}

// DecodeRouting implements buckthorndyke.RoutingEncoder.
func (Routings) DecodeRouting(data []byte) (buckthorndyke.Routing, error) {
	plain, err := decompress(data)
	if err != nil {
		return buckthorndyke.Routing{}, err
	}
	var w wire.RoutingRecord
	if err := proto.Unmarshal(plain, &w); err != nil {
		return buckthorndyke.Routing{}, errors.Wrap(err, "decode another VM's configuration")
	}
	if w.GetRouting().GetVersion() <= 0 {
		return buckthorndyke.Routing{}, errors.New("another VM's configuration has no version")
	}
	out := translator.RoutingFromWire(w.GetRouting())
	out.Copied = true
	out.Record = buckthorndyke.RoutingRecord{Bytes: int(w.GetSize()), Era: w.GetEra(), Next: w.GetNext()}
	return out, nil
}

// EncodeRouting implements buckthorndyke.RoutingEncoder.
func (Routings) EncodeRouting(r buckthorndyke.Routing) ([]byte, error) {
	data, err := proto.Marshal(&wire.RoutingRecord{
		Era: r.Record.Era, Next: r.Record.Next, Routing: translator.RoutingToWire(r), Size: int32(r.Record.Bytes),
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode the configuration")
	}
	return compress(data)
}
