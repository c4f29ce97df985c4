// Package encoder converts the log's records and the messages of the platform's and
// the runners' HTTP interfaces to their wire form and back.
package encoder

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// Proto encodes proposals as protocol buffers. It implements
// buckthorndyke.Encoder.
type Proto struct {
	parser buckthorndyke.RulesParser
}

// NewProto returns an encoder that parses the rules in states with parser.
func NewProto(parser buckthorndyke.RulesParser) *Proto {
	return &Proto{parser: parser}
}

// DecodeProposal implements buckthorndyke.Encoder.
func (e *Proto) DecodeProposal(data []byte) (buckthorndyke.Proposal, error) {
	plain, err := decompress(data)
	if err != nil {
		return buckthorndyke.Proposal{}, err
	}
	var w wire.Proposal
	if err := proto.Unmarshal(plain, &w); err != nil {
		return buckthorndyke.Proposal{}, errors.Wrap(err, "decode proposal")
	}
	p := buckthorndyke.Proposal{
		ID:          buckthorndyke.ProposalID(w.GetId()),
		Incarnation: buckthorndyke.Incarnation(w.GetIncarnation()),
		Proposer:    buckthorndyke.VMID(w.GetProposer()),
	}
	if hasUnknownFields(w.ProtoReflect()) {
		p.Change = buckthorndyke.UnknownChange{Data: data}
		return p, nil
	}
	change, err := e.decodeChange(&w, data)
	p.Change = change
	return p, err
}

// DecodeState returns the state in w. It parses the text of the rules.
func (e *Proto) DecodeState(w *wire.State) (buckthorndyke.State, error) {
	s := decodeStateWithoutRules(w)
	if w.GetRulesVersion() == 0 {
		return s, nil
	}
	rules, err := e.parser.Parse(w.GetRulesText())
	if err != nil {
		return buckthorndyke.State{}, errors.Wrapf(err, "parse rules version %d", w.GetRulesVersion())
	}
	return s.WithRules(rules, w.GetRulesText(), buckthorndyke.Offset(w.GetRulesVersion())), nil
}

// EncodeProposal implements buckthorndyke.Encoder.
func (e *Proto) EncodeProposal(p buckthorndyke.Proposal) ([]byte, error) {
	if c, ok := p.Change.(buckthorndyke.UnknownChange); ok {
		return c.Data, nil
	}
	w := &wire.Proposal{
		Id:          string(p.ID),
		Incarnation: uint64(p.Incarnation),
		Proposer:    string(p.Proposer),
	}
	if err := encodeChange(w, p.Change); err != nil {
		return nil, err
	}
	data, err := proto.Marshal(w)
	if err != nil {
		return nil, errors.Wrap(err, "encode proposal")
	}
	return compress(data)
}
