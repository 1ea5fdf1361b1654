// Package ring provides a bounded queue between goroutines. The method by which a
// producer adds a value determines what happens when the ring is full: Put waits,
// Offer refuses the value and Push drops the oldest one. Each ring has metrics of
// its depth and of waits, refusals and drops.
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

// New returns a ring; capacity must be above zero. Its metrics have the given
// name as a label: ring_depth, ring_refused_total, ring_dropped_total and
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

// Offer adds a value unless the ring is full. It reports whether the value was
// added.
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

// Put adds a value. If the ring is full, it waits for space or until the context
// ends, and then returns the context's error.
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

// Push adds a value. If the ring is full, it drops the oldest values to make
// space.
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

// Values returns the channel from which values are received.
func (r *Ring[T]) Values() <-chan T { return r.values }

// Close closes the channel of values. No value may be added afterwards.
func (r *Ring[T]) Close() { close(r.values) }
