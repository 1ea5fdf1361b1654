package sidecar

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// defaultBufferBytes is the budget for buffered responses if the settings
// specify none.
const defaultBufferBytes = 64 << 20

// budget limits the total bytes of the responses that a sidecar buffers for
// routers.
type budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
	gauge metrics.Gauge
}

// newBudget returns a budget of limit bytes, or of defaultBufferBytes if limit
// is not positive. A gauge in the registry shows the bytes in use.
func newBudget(limit int64, registry metrics.Registry) *budget {
	if limit <= 0 {
		limit = defaultBufferBytes
	}
	return &budget{limit: limit, gauge: metrics.GetOrRegisterGauge("answer_buffer_bytes", registry)}
}

// acquire reserves n bytes of the budget. It reports false if they don't fit.
func (b *budget) acquire(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+int64(n) > b.limit {
		return false
	}
	b.used += int64(n)
	b.gauge.Update(b.used)
	return true
}

// release returns n bytes to the budget.
func (b *budget) release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= int64(n)
	b.gauge.Update(b.used)
}

// overHalfUsed reports whether more than half of the budget is used. New work
// then waits, so that running requests have room to finish.
func (b *budget) overHalfUsed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used > b.limit/2
}
