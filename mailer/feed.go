package mailer

import "context"

// Feed passes the newest value of one publishing task to its subscribers, who
// may skip values but never see an older one after a newer one.
type Feed[V any] struct {
	joins *Mailbox[chan V]
	quits *Mailbox[chan V]
	value *Mailbox[V]
}

// NewFeed returns a feed without a value. It passes values on while Serve runs.
func NewFeed[V any]() *Feed[V] {
	return &Feed[V]{
		joins: NewMailbox[chan V](),
		quits: NewMailbox[chan V](),
		value: NewMailbox[V](WithCapacity(1)),
	}
}

// Publish makes v the newest value.
func (f *Feed[V]) Publish(ctx context.Context, v V) error {
	return f.value.Send(ctx, v)
}

// Serve implements suture.Service.
func (f *Feed[V]) Serve(ctx context.Context) error {
	var newest *V
	subscribers := make(map[chan V]struct{})
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-f.joins.Receive():
			subscribers[s] = struct{}{}
			if newest != nil {
				replace(s, *newest)
			}
		case s := <-f.quits.Receive():
			delete(subscribers, s)
		case v := <-f.value.Receive():
			newest = &v
			for s := range subscribers {
				replace(s, v)
			}
		}
	}
}

// Subscribe returns a channel that holds the newest value that was not received
// from it yet. The subscription ends with ctx.
func (f *Feed[V]) Subscribe(ctx context.Context) <-chan V {
	s := make(chan V, 1)
	go func() {
		if f.joins.Send(ctx, s) != nil {
			return
		}
		<-ctx.Done()
		f.quits.TrySend(s)
	}()
	return s
}

// replace puts v into s in place of a value that was not received yet. Only one
// task sends to s.
func replace[V any](s chan V, v V) {
	select {
	case <-s:
	default:
	}
	s <- v
}
