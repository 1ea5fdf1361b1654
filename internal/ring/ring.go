// Package ring holds the bounded ring that joins two goroutines. Whoever puts a
// value in states what happens when the ring is full: wait, refuse, or drop the
// oldest value. Each ring has metrics of its depth and of what did not fit.
package ring

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

// Ring is a bounded queue of values, safe for several goroutines.
type Ring[T any] struct {
	values  chan T
	depth   metrics.Gauge
	refused metrics.Counter
	dropped metrics.Counter
	waited  metrics.Counter
}

// New returns a ring of a capacity above zero. Its metrics are registered under
// the given name: ring_depth, ring_refused_total, ring_dropped_total and
// ring_waited_total.
func New[T any](name string, capacity int, registry metrics.Registry) *Ring[T] {
	return &Ring[T]{
		values:  make(chan T, capacity),
		depth:   metrics.GetOrRegisterGauge(telemetry.Name("ring_depth", "ring", name), registry),
		refused: metrics.GetOrRegisterCounter(telemetry.Name("ring_refused_total", "ring", name), registry),
		dropped: metrics.GetOrRegisterCounter(telemetry.Name("ring_dropped_total", "ring", name), registry),
		waited:  metrics.GetOrRegisterCounter(telemetry.Name("ring_waited_total", "ring", name), registry),
	}
}

// Offer puts a value in unless the ring is full. It reports whether it did.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.values <- v:
		r.depth.Update(int64(len(r.values)))
		return true
	default:
		r.refused.Inc(1)
		return false
	}
}

// Put waits for room and puts a value in. Its error is that of the context.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.values <- v:
		r.depth.Update(int64(len(r.values)))
		return nil
	default:
		r.waited.Inc(1)
	}
	select {
	case r.values <- v:
		r.depth.Update(int64(len(r.values)))
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Push puts a value in and drops the oldest ones for it if the ring is full.
func (r *Ring[T]) Push(v T) {
	for {
		select {
		case r.values <- v:
			r.depth.Update(int64(len(r.values)))
			return
		default:
		}
		select {
		case <-r.values:
			r.dropped.Inc(1)
		default:
		}
	}
}

// Values returns the channel to take values from.
func (r *Ring[T]) Values() <-chan T { return r.values }

// Close ends the ring for its reader. Nothing may be put in afterwards.
func (r *Ring[T]) Close() { close(r.values) }
