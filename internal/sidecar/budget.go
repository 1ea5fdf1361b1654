package sidecar

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// defaultBufferBytes bounds the answers that are kept where the settings do not.
const defaultBufferBytes = 64 << 20

// budget bounds the bytes of all answers that a sidecar keeps for routers.
type budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
	gauge metrics.Gauge
}

// newBudget returns a budget of some bytes, the default for 0, that shows what
// is used in a registry.
func newBudget(limit int64, registry metrics.Registry) *budget {
	if limit <= 0 {
		limit = defaultBufferBytes
	}
	return &budget{limit: limit, gauge: metrics.GetOrRegisterGauge("answer_buffer_bytes", registry)}
}

// take takes n bytes out of the budget. It reports false if they don't fit.
func (b *budget) take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+int64(n) > b.limit {
		return false
	}
	b.used += int64(n)
	b.gauge.Update(b.used)
	return true
}

// give gives n bytes back.
func (b *budget) give(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= int64(n)
	b.gauge.Update(b.used)
}

// scarce reports whether more than half of the budget is used. New work then
// waits, so that what runs has room to end.
func (b *budget) scarce() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used > b.limit/2
}
