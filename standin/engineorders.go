package standin

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// orderMessage asks a MemoryEngine to carry out an order.
type orderMessage struct {
	// arrived is set once OrderDelay has passed.
	arrived bool
	order   buckthorndyke.Order
	reply   mailer.Reply[orderReply]
}

func (m orderMessage) handle(ctx context.Context, s *engineState) {
	if err := s.unreachable(); err != nil {
		m.reply.Answer(orderReply{err: err, value: buckthorndyke.OrderUnknown})
		return
	}
	if !m.arrived && s.faults.OrderDelay > 0 {
		m.arrived = true
		s.sendLater(ctx, s.faults.OrderDelay, m)
		return
	}
	if s.faults.LoseOrderReplies > 0 {
		s.faults.LoseOrderReplies--
		m.reply.Answer(orderReply{err: errOrderReplyLost, value: buckthorndyke.OrderUnknown})
	}
	if s.repeat(m) {
		return
	}
	state := s.execute(ctx, m)
	s.orders[m.order.ID] = state
	s.journal.Orders = append(s.journal.Orders, OrderRecord{At: s.clock.Now(), Order: m.order, State: state})
	if state != buckthorndyke.OrderRunning {
		m.reply.Answer(orderReply{value: state})
	}
}

// execute carries out an order, or starts to, and returns its state.
func (s *engineState) execute(ctx context.Context, m orderMessage) buckthorndyke.OrderState {
	if s.cfg.ChecksFencingToken && m.order.FencingToken < s.fencingToken {
		return buckthorndyke.OrderFenced
	}
	if s.cfg.ChecksFencingToken {
		s.fencingToken = m.order.FencingToken
	}
	switch m.order.Kind {
	case buckthorndyke.OrderFence:
		s.record()
		return buckthorndyke.OrderDone
	case buckthorndyke.OrderLoad:
		return s.load(ctx, m)
	case buckthorndyke.OrderUnload:
		s.unload(m.order.Model)
		return buckthorndyke.OrderDone
	default:
		return buckthorndyke.OrderFailed
	}
}

// load starts to load a model, even if too little memory is free.
func (s *engineState) load(ctx context.Context, m orderMessage) buckthorndyke.OrderState {
	order := m.order
	if r, ok := s.residents[order.Model]; ok {
		if r.Loading {
			return buckthorndyke.OrderFailed
		}
		return buckthorndyke.OrderDone
	}
	if base, ok := s.residents[order.Base]; order.Base != "" && (!ok || base.Loading) {
		return buckthorndyke.OrderFailed
	}
	s.journal.Loads[order.Model]++
	s.addResident(buckthorndyke.Resident{Base: order.Base, Loading: true, MemoryMB: order.MemoryMB, Model: order.Model})
	loadCtx, cancel := context.WithCancel(ctx)
	s.loads[order.Model] = engineLoad{cancel: cancel, order: order.ID, replies: []mailer.Reply[orderReply]{m.reply}}
	fetch := s.fetch(order)
	incarnation := s.incarnation
	go func() {
		defer cancel()
		err := fetch(loadCtx)
		_ = s.box.Send(ctx, loadedMessage{err: err, incarnation: incarnation, order: order})
	}()
	return buckthorndyke.OrderRunning
}

// fetch returns a function that waits until the weights are loaded.
func (s *engineState) fetch(order buckthorndyke.Order) func(context.Context) error {
	duration := s.loadTime(order)
	clock, store := s.clock, s.store
	if s.tier(order.Model) == buckthorndyke.TierRemote {
		return func(ctx context.Context) error {
			return store.Fetch(ctx, order.Model, order.Base != "", duration)
		}
	}
	return func(ctx context.Context) error { return sleep(ctx, clock, duration) }
}

// repeat replies to an order that was received before, and reports whether it was.
func (s *engineState) repeat(m orderMessage) bool {
	state, known := s.orders[m.order.ID]
	if !known {
		return false
	}
	load, loading := s.loads[m.order.Model]
	if loading && load.order == m.order.ID {
		load.replies = append(load.replies, m.reply)
		s.loads[m.order.Model] = load
		return true
	}
	m.reply.Answer(orderReply{value: state})
	return true
}

// sendLater puts m into the engine's own mailbox after d.
func (s *engineState) sendLater(ctx context.Context, d buckthorndyke.Millis, m message[*engineState]) {
	expired := s.clock.After(d)
	go func() {
		select {
		case <-expired:
			_ = s.box.Send(ctx, m)
		case <-ctx.Done():
		}
	}()
}

// unload removes a model and its adapters from memory.
func (s *engineState) unload(model buckthorndyke.ModelID) {
	for id, r := range s.residents {
		if r.Base == model {
			s.drop(id)
		}
	}
	s.drop(model)
}

// loadedMessage tells a MemoryEngine that the weights of a load have arrived, or
// that the load failed.
type loadedMessage struct {
	err         error
	incarnation buckthorndyke.Incarnation
	order       buckthorndyke.Order
}

func (m loadedMessage) handle(_ context.Context, s *engineState) {
	load, loading := s.loads[m.order.Model]
	if m.incarnation != s.incarnation || !loading || load.order != m.order.ID {
		return
	}
	delete(s.loads, m.order.Model)
	state := buckthorndyke.OrderDone
	if m.err != nil {
		state = buckthorndyke.OrderFailed
		s.removeResident(m.order.Model)
	} else {
		r := s.residents[m.order.Model]
		r.Loading = false
		s.residents[m.order.Model] = r
		s.cached[m.order.Model] = min(s.tier(m.order.Model), buckthorndyke.TierDisk)
	}
	s.orders[m.order.ID] = state
	s.record()
	load.sendReplies(orderReply{value: state})
}
