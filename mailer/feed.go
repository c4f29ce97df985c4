package mailer

import "context"

// Feed delivers the newest value of one publisher to its subscribers. Subscribers may
// miss values but never receive an older value after a newer one.
type Feed[V any] struct {
	subscriptions   *Mailbox[chan V]
	unsubscriptions *Mailbox[chan V]
	value           *Mailbox[V]
}

// NewFeed returns a feed without a value. It only delivers values while Serve runs.
func NewFeed[V any]() *Feed[V] {
	return &Feed[V]{
		subscriptions:   NewMailbox[chan V](),
		unsubscriptions: NewMailbox[chan V](),
		value:           NewMailbox[V](WithCapacity(1)),
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
		case s := <-f.subscriptions.Receive():
			subscribers[s] = struct{}{}
			if newest != nil {
				replace(s, *newest)
			}
		case s := <-f.unsubscriptions.Receive():
			delete(subscribers, s)
		case v := <-f.value.Receive():
			newest = &v
			for s := range subscribers {
				replace(s, v)
			}
		}
	}
}

// Subscribe returns a channel that holds the newest value until it is received. The
// subscription ends with ctx.
func (f *Feed[V]) Subscribe(ctx context.Context) <-chan V {
	s := make(chan V, 1)
	go func() {
		if f.subscriptions.Send(ctx, s) != nil {
			return
		}
		<-ctx.Done()
		f.unsubscriptions.TrySend(s)
	}()
	return s
}

// replace sends v to s and discards a value that has not been received yet. Only one
// goroutine may send to s.
func replace[V any](s chan V, v V) {
	select {
	case <-s:
	default:
	}
	s <- v
}
