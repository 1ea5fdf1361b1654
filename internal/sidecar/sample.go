package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

const (
	// sampleFirst is how soon a sidecar that has run out of reservations asks
	// routers for more.
	sampleFirst = 25 * time.Millisecond
	// sampleLast is how often it asks when it has long found nothing.
	sampleLast = 3200 * time.Millisecond
	// sampleWidth is how many routers it asks at once.
	sampleWidth = 3
	// sampleLimit is the most reservations that it asks each for.
	sampleLimit = 16
	// maxRouters bounds the routers that are remembered from reservations.
	maxRouters = 1024
)

// routers names the routers that an idle sidecar may ask. It belongs to the
// sidecar's lock.
type routers struct {
	listed func() []string
	seen   map[string]struct{}
}

// newRouters returns the routers that listed names, if it is not nil, and those
// that are noted.
func newRouters(listed func() []string) *routers {
	return &routers{listed: listed, seen: make(map[string]struct{})}
}

// note remembers a router that has placed a reservation. When there are too
// many, any other one is forgotten.
func (r *routers) note(addr string) {
	if _, ok := r.seen[addr]; !ok && len(r.seen) >= maxRouters {
		for other := range r.seen {
			delete(r.seen, other)
			break
		}
	}
	r.seen[addr] = struct{}{}
}

// some returns up to n routers at random.
func (r *routers) some(n int) []string {
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

// sample asks a few routers for reservations while the target has room and the
// sidecar holds none, until the context ends. It asks ever less often while it
// finds nothing: a router with work places reservations of its own accord.
func (s *Sidecar) sample(ctx context.Context) {
	wait := sampleFirst
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		asked := s.idleRouters()
		found := 0
		for _, addr := range asked {
			found += s.sampleRouter(ctx, addr)
		}
		wait = min(2*wait, sampleLast)
		if len(asked) == 0 || found > 0 {
			wait = sampleFirst
		}
		timer.Reset(wait)
	}
}

// idleRouters returns the routers to ask, none if the sidecar is not idle.
func (s *Sidecar) idleRouters() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayStart() || s.waiting.len() > 0 || s.gate.Room(time.Now()) <= 0 {
		return nil
	}
	return s.routers.some(sampleWidth)
}

// sampleRouter asks one router and returns the number of reservations found.
func (s *Sidecar) sampleRouter(ctx context.Context, addr string) int {
	res, err := s.opts.Pool.Get(addr).Router.Sample(ctx, &zinniaquayv1.SampleRequest{Target: s.opts.Target, Limit: sampleLimit})
	if err != nil {
		return 0 // another router is asked next time
	}
	metrics.GetOrRegisterCounter("sampled_reservations_total", s.opts.Metrics).Inc(int64(len(res.GetReservations())))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range res.GetReservations() {
		s.keep(r)
	}
	s.poke()
	return len(res.GetReservations())
}
