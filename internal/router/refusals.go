package router

import (
	"maps"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniaquay/zinniaquay/internal/errkind"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

// refusals counts the requests that ended with an error, by error kind.
type refusals struct {
	registry metrics.Registry

	mu     sync.Mutex
	byKind map[string]uint64
}

func newRefusals(registry metrics.Registry) *refusals {
	return &refusals{registry: registry, byKind: make(map[string]uint64)}
}

// add counts a request.
func (r *refusals) add(kind errkind.Kind) {
	name := telemetry.Name("requests_refused_total", "kind", string(kind))
	metrics.GetOrRegisterCounter(name, r.registry).Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byKind[string(kind)]++
}

// totals returns the counts since the process started.
func (r *refusals) totals() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.byKind)
}
