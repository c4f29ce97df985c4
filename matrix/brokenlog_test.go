package matrix_test

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/parser"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// rebaseDelay separates the changes of two operators, so that the later one reads the
// earlier one.
const rebaseDelay = 100 * buckthorndyke.Millisecond

// skippingLog replaces each rules change after the first by a record that changes
// nothing.
type skippingLog struct {
	buckthorndyke.Log
	encoder *encoder.Proto
}

func newSkippingLog(vm buckthorndyke.VMID, l buckthorndyke.Log) buckthorndyke.Log {
	if vm != "entry-1" {
		return l
	}
	return skippingLog{Log: l, encoder: encoder.NewProto(parser.NewRules())}
}

func (l skippingLog) Read(
	ctx context.Context, stream buckthorndyke.Stream, from buckthorndyke.Offset, wait buckthorndyke.Millis,
) (buckthorndyke.LogBatch, error) {
	batch, err := l.Log.Read(ctx, stream, from, wait)
	if stream != buckthorndyke.ControlStream {
		return batch, err
	}
	for i, e := range batch.Entries {
		p, decodeErr := l.encoder.DecodeProposal(e.Data)
		c, ok := p.Change.(buckthorndyke.RulesChange)
		if decodeErr == nil && ok && c.Base != buckthorndyke.NoOffset {
			p.Change = buckthorndyke.LeaveChange{VM: "nobody"}
			batch.Entries[i].Data, _ = l.encoder.EncodeProposal(p)
		}
	}
	return batch, err
}

// rebasingLog sets the base of each rules change to the current version, so that the
// change is accepted although its author has not seen that version.
type rebasingLog struct {
	buckthorndyke.Log
	// delay is the time by which each change is held back.
	delay   buckthorndyke.Millis
	encoder *encoder.Proto
}

func newRebasingLog(vm buckthorndyke.VMID, l buckthorndyke.Log) buckthorndyke.Log {
	r := rebasingLog{Log: l, encoder: encoder.NewProto(parser.NewRules())}
	if vm == "entry-1" {
		r.delay = rebaseDelay
	}
	return r
}

func (l rebasingLog) Append(
	ctx context.Context, stream buckthorndyke.Stream, data []byte,
) (buckthorndyke.Offset, error) {
	p, err := l.encoder.DecodeProposal(data)
	c, ok := p.Change.(buckthorndyke.RulesChange)
	if stream != buckthorndyke.ControlStream || err != nil || !ok {
		return l.Log.Append(ctx, stream, data)
	}
	<-timekeeper.NewRealClock().After(l.delay)
	batch, err := l.Read(ctx, stream, 1, 0)
	if err != nil {
		return l.Log.Append(ctx, stream, data)
	}
	for _, e := range batch.Entries {
		earlier, err := l.encoder.DecodeProposal(e.Data)
		if _, rules := earlier.Change.(buckthorndyke.RulesChange); rules && err == nil {
			c.Base = e.Offset
		}
	}
	p.Change = c
	data, _ = l.encoder.EncodeProposal(p)
	return l.Log.Append(ctx, stream, data)
}
