package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// minSampleInterval is how soon a sidecar that has run out of reservations
	// asks routers for more.
	minSampleInterval = 25 * time.Millisecond
	// maxSampleInterval is the longest interval, reached after repeated samples
	// without a result.
	maxSampleInterval = 3200 * time.Millisecond
	// routersPerSample is how many routers are asked per sample.
	routersPerSample = 3
	// maxSampledReservations is the maximum number of reservations requested
	// from each router.
	maxSampledReservations = 16
	// maxRouters is the maximum number of routers remembered from reservations.
	maxRouters = 1024
)

// routers holds the routers that an idle sidecar may ask. It is guarded by the
// sidecar's lock.
type routers struct {
	listed func() []string
	seen   map[string]struct{}
}

// newRouters returns a set of the routers that listed returns, if it is not
// nil, and of those added later.
func newRouters(listed func() []string) *routers {
	return &routers{listed: listed, seen: make(map[string]struct{})}
}

// add remembers a router that has placed a reservation. If there are too many,
// an arbitrary other one is removed.
func (r *routers) add(addr string) {
	if _, ok := r.seen[addr]; !ok && len(r.seen) >= maxRouters {
		for other := range r.seen {
			delete(r.seen, other)
			break
		}
	}
	r.seen[addr] = struct{}{}
}

// random returns up to n randomly chosen routers.
func (r *routers) random(n int) []string {
	all := make(map[string]struct{}, len(r.seen))
	for addr := range r.seen {
		all[addr] = struct{}{}
	}
	if r.listed != nil {
		for _, addr := range r.listed() {
			all[addr] = struct{}{}
		}
	}
	addrs := make([]string, 0, len(all))
	for addr := range all {
		addrs = append(addrs, addr)
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(n, len(addrs))]
}

// sample asks a few routers for reservations while the target has capacity and
// the sidecar holds none, until the context ends. The interval doubles while it
// finds nothing: a router with waiting requests places reservations without
// being asked.
func (s *Sidecar) sample(ctx context.Context) {
	interval := minSampleInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		addrs := s.routersToSample()
		found := 0
		for _, addr := range addrs {
			found += s.sampleRouter(ctx, addr)
		}
		interval = min(2*interval, maxSampleInterval)
		if len(addrs) == 0 || found > 0 {
			interval = minSampleInterval
		}
		timer.Reset(interval)
	}
}

// routersToSample returns the routers to ask, or none if the sidecar is not
// idle.
func (s *Sidecar) routersToSample() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayStart() || s.reservations.len() > 0 || s.gate.Room(time.Now()) <= 0 {
		return nil
	}
	return s.knownRouters.random(routersPerSample)
}

// sampleRouter asks one router and returns the number of reservations received.
func (s *Sidecar) sampleRouter(ctx context.Context, addr string) int {
	res, err := s.opts.Pool.Get(addr).Router.Sample(ctx, &zinniaquayv1.SampleRequest{Target: s.opts.Target, Limit: maxSampledReservations})
	if err != nil {
		return 0 // another router is asked next time
	}
	metrics.GetOrRegisterCounter("sampled_reservations_total", s.opts.Metrics).Inc(int64(len(res.GetReservations())))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range res.GetReservations() {
		s.addReservation(r)
	}
	s.wakeDispatcher()
	return len(res.GetReservations())
}
