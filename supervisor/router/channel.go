package router

import "context"

// result is a value of a stream, or the error that ended it.
type result[V any] struct {
	err   error
	value V
}

// toChannel calls next repeatedly and sends the results, until next fails or ctx ends.
func toChannel[V any](ctx context.Context, next func(context.Context) (V, error)) <-chan result[V] {
	results := make(chan result[V])
	go func() {
		for {
			value, err := next(ctx)
			select {
			case results <- result[V]{err: err, value: value}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return results
}
